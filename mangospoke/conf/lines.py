"""Line numbers of keys in a TOML file.

The standard parser reads values but gives no line numbers. This scanner runs over
text that the parser has accepted and notes where each key path first stands.
"""

import re
import tomllib
from dataclasses import dataclass, field

KeyPath = tuple[str | int, ...]
"""Keys from the root on; numbers stand for items of arrays."""

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
_SPACE = re.compile(r"[ \t]*")
_SPACE_AND_COMMENTS = re.compile(r"(?:[ \t\r\n]|#[^\n]*)*")
_SCALAR = re.compile(r"[^,\]}\n#]*")
_STRINGS_BY_QUOTE = {
    '"""': re.compile(r'"""(?:[^"\\]|\\.|"(?!""))*"{3,5}', re.DOTALL),
    "'''": re.compile(r"'''(?:[^']|'(?!''))*'{3,5}", re.DOTALL),
    '"': re.compile(r'"(?:[^"\\]|\\.)*"'),
    "'": re.compile(r"'[^']*'"),
}


@dataclass(frozen=True, slots=True)
class KeyLines:
    """Where the keys of a file stand.

    Attributes:
        lines_by_path: Line number from 1 on, by key path.
    """

    lines_by_path: dict[KeyPath, int] = field(default_factory=dict)

    def find(self, path: KeyPath) -> int:
        """Returns the line of a key path or of its nearest parent; 0 if none."""
        while path:
            line = self.lines_by_path.get(path)
            if line is not None:
                return line
            path = path[:-1]
        return 0


def find_key_lines(text: str) -> KeyLines:
    """Finds the lines of all keys in valid TOML."""
    scanner = _Scanner(text)
    scanner.scan()
    return KeyLines(scanner.lines_by_path)


class _Scanner:
    """A position in the text, and the lines noted so far."""

    def __init__(self, text: str) -> None:
        self.lines_by_path: dict[KeyPath, int] = {}
        self._text = text
        self._position = 0
        self._line = 1
        self._counted_up_to = 0
        self._tables_by_path: dict[KeyPath, int] = {}

    def scan(self) -> None:
        """Scans the whole text."""
        table: KeyPath = ()
        self._skip(_SPACE_AND_COMMENTS)
        while self._position < len(self._text):
            if self._at("["):
                table = self._scan_header()
            else:
                self._scan_pair(table)
            self._skip(_SPACE_AND_COMMENTS)

    def _scan_header(self) -> KeyPath:
        is_array = self._text.startswith("[[", self._position)
        self._position += 2 if is_array else 1
        self._skip(_SPACE)
        path = self._resolve(self._scan_key())
        self._skip(_SPACE)
        self._position += 2 if is_array else 1
        if is_array:
            index = self._tables_by_path.get(path, -1) + 1
            self._tables_by_path[path] = index
            path = (*path, index)
        self._note(path)
        return path

    def _resolve(self, key: KeyPath) -> KeyPath:
        """Adds the index of the last item where a header names an array of tables."""
        path: KeyPath = ()
        for part in key[:-1]:
            path = (*path, part)
            if path in self._tables_by_path:
                path = (*path, self._tables_by_path[path])
        return (*path, key[-1])

    def _scan_pair(self, table: KeyPath) -> None:
        path = table + self._scan_key()
        self._note(path)
        self._skip(_SPACE)
        self._position += len("=")
        self._skip(_SPACE)
        self._scan_value(path)

    def _scan_key(self) -> KeyPath:
        parts = [self._scan_key_part()]
        self._skip(_SPACE)
        while self._at("."):
            self._position += 1
            self._skip(_SPACE)
            parts.append(self._scan_key_part())
            self._skip(_SPACE)
        return tuple(parts)

    def _scan_key_part(self) -> str:
        if self._at('"') or self._at("'"):
            return next(iter(tomllib.loads(f"{self._take_string()}=0")))
        return self._take(_BARE_KEY)

    def _scan_value(self, path: KeyPath) -> None:
        if self._at("["):
            self._scan_array(path)
        elif self._at("{"):
            self._scan_inline_table(path)
        elif self._at('"') or self._at("'"):
            self._take_string()
        else:
            self._skip(_SCALAR)

    def _scan_array(self, path: KeyPath) -> None:
        self._position += 1
        self._skip(_SPACE_AND_COMMENTS)
        index = 0
        while not self._at("]"):
            self._note((*path, index))
            self._scan_value((*path, index))
            self._skip_separator()
            index += 1
        self._position += 1

    def _scan_inline_table(self, path: KeyPath) -> None:
        self._position += 1
        self._skip(_SPACE_AND_COMMENTS)
        while not self._at("}"):
            self._scan_pair(path)
            self._skip_separator()
        self._position += 1

    def _skip_separator(self) -> None:
        self._skip(_SPACE_AND_COMMENTS)
        if self._at(","):
            self._position += 1
            self._skip(_SPACE_AND_COMMENTS)

    def _take_string(self) -> str:
        for quote, pattern in _STRINGS_BY_QUOTE.items():
            if self._at(quote):
                return self._take(pattern)
        raise ValueError("not a string")

    def _at(self, text: str) -> bool:
        return self._text.startswith(text, self._position)

    def _take(self, pattern: re.Pattern[str]) -> str:
        match = pattern.match(self._text, self._position)
        if match is None:
            raise ValueError(f"unexpected text at offset {self._position}")
        self._position = match.end()
        return match.group()

    def _skip(self, pattern: re.Pattern[str]) -> None:
        self._take(pattern)

    def _note(self, path: KeyPath) -> None:
        self._line += self._text.count("\n", self._counted_up_to, self._position)
        self._counted_up_to = self._position
        for length in range(1, len(path) + 1):
            self.lines_by_path.setdefault(path[:length], self._line)
