"""Content that another writer may leave where a process of the fleet reads."""

import json

DEPTH = 20_000
NESTED = "[" * DEPTH + "]" * DEPTH
HUGE = "1" + "0" * 400

ODD_ADDRESSES = [
    "10.0.0.1:70000",
    "10.0.0.1:-1",
    "10.0.0.1:0",
    "10.0.0.1:",
    "10.0.0.1",
    "10.0.0.1:80\n",
    "10.0.0.1:9_0",
    "300.1.1.1:80",
    "shop.example:80",
    ":80",
    "a\x00b:80",
    "x" * 300 + ":80",
    "10.0.0.1:" + "9" * 5_000,
]


def odd_variants(content):
    """Returns variants of a JSON object that no reader may stumble over, by name.

    Args:
        content: The object, sound and encoded.
    """
    sound = json.loads(content)
    variants = {
        "empty": b" ",
        "no text": b"\xff\xfe\x00",
        "cut off": content[:-1],
        "a list": b"[]",
        "nested": NESTED.encode(),
        "nested in an unknown field": _with_raw(sound, "unknown", NESTED),
    }
    for name, value in sound.items():
        variants[f"{name} is nested"] = _with_raw(sound, name, NESTED)
        variants[f"{name} is missing or null"] = _with_raw(sound, name, "null")
        if isinstance(value, int):
            for number in (HUGE, "-1", "1e400", "18446744073709551616", "1.5"):
                key = f"{name} is {number[:30]}"
                variants[key] = _with_raw(sound, name, number)
        if "address" in name:
            for address in ODD_ADDRESSES:
                key = f"{name} is {address[:20]!r} of {len(address)}"
                variants[key] = _with_raw(sound, name, json.dumps(address))
    return variants


def _with_raw(sound, name, raw):
    mark = "the-mark"
    return json.dumps({**sound, name: mark}).replace(f'"{mark}"', raw).encode()
