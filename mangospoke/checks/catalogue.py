"""Every check: its id, what it finds and what to do about it.

Ids are stable: one that is no longer used isn't given to another check.
"""

from dataclasses import dataclass

CHECKS_BY_ID: dict[str, "Check"] = {}
"""All checks, in the order of the reference page."""


@dataclass(frozen=True, slots=True)
class Check:
    """A kind of fault.

    Attributes:
        id: Stable id; `E` stands for an error, `W` for a warning.
        summary: What is wrong, for the reference page.
        hint: What to do about it.
    """

    id: str
    summary: str
    hint: str


def _define(number: str, summary: str, hint: str) -> Check:
    check = Check(f"mangospoke.{number}", summary, hint)
    assert check.id not in CHECKS_BY_ID
    CHECKS_BY_ID[check.id] = check
    return check


UNREADABLE_FILE = _define(
    "E001",
    "The file can't be read, is too large or isn't UTF-8 text.",
    "Check the name and permissions; save the file as UTF-8.",
)
MALFORMED_TOML = _define(
    "E002",
    "The file isn't TOML.",
    "Mend the line that is named; a name may be set only once.",
)
UNKNOWN_NAME = _define(
    "E003",
    "A name is none that the file may set.",
    "The reference page lists the known names.",
)
MISSING_VALUE = _define(
    "E004", "A value without a default is missing.", "It has no default; add it."
)
WRONG_VALUE = _define(
    "E005",
    "A value has the wrong type or is out of bounds.",
    "The reference page names each value's type and bounds.",
)

MALFORMED_NAME = _define(
    "E010",
    "A name or id has characters other than letters, digits, `_` and `-`, or is "
    "longer than 64 characters.",
    "Begin with a letter or digit; use letters, digits, `_` and `-`.",
)
NO_DOMAIN = _define(
    "E011",
    "The base declares no failure domain that runs.",
    "Declare one under [domains.ID] that isn't lost.",
)
NO_SERVICE = _define(
    "W010", "The base declares no service.", "Declare one under [services.NAME]."
)

UNKNOWN_CALLED_SERVICE = _define(
    "E020",
    "A service calls one that isn't declared.",
    "Declare it, or take it out of `calls`.",
)
CALL_CYCLE = _define(
    "E021",
    "Services call each other in a circle.",
    "Take one of the calls out; an overload would feed itself.",
)
CALLS_TOO_DEEP = _define(
    "E022",
    "A chain of calls is longer than 12 services.",
    "Shorten the chain; each call adds to the delay of all above it.",
)
SERVICE_WITHOUT_ROUTES = _define(
    "W020",
    "A service has no routes, so that nobody can call it.",
    "Declare one under [services.NAME.routes.ROUTE].",
)
FEWER_CONNECTIONS_THAN_SLOTS = _define(
    "W021",
    "A service accepts fewer connections than it has slots.",
    "Raise `connections`, or the slots can't be filled.",
)

UNKNOWN_METHOD = _define(
    "E030",
    "A route's method is none of HTTP's.",
    "Use one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT.",
)
MALFORMED_PATH = _define(
    "E031",
    "A route's path pattern is malformed.",
    "Begin with `/`; `{name}` stands for one whole segment, `*` only at the end.",
)
AMBIGUOUS_ROUTE = _define(
    "E032",
    "Two routes match the same method and path.",
    "Change the method or path of one of them.",
)
UNIMPORTANT_NON_IDEMPOTENT = _define(
    "W030",
    "A non-idempotent route isn't of critical or high importance, so that it is "
    "shed early.",
    'Set importance = "critical" or "high".',
)
DEADLINE_SHORTER_THAN_CALLS = _define(
    "W031",
    "A route's deadline is shorter than any deadline of a service that is called.",
    "Lengthen it, or shorten the deadlines of the called service.",
)
MANY_RETRIES = _define(
    "W032",
    "A route's retries times the depth of its calls is over 24.",
    "Lower `retries`: each may run the whole chain beneath again.",
)
UNREACHABLE_ROUTE = _define(
    "W033",
    "A route is internal, but no service calls its service.",
    'Name the service in another\'s `calls`, or set access = "open".',
)

MALFORMED_HASH = _define(
    "E040",
    "A key's hash is malformed.",
    "Use the output of `mangospoke keys hash`, never the secret itself.",
)
DOT_IN_KEY_ID = _define(
    "E041",
    "A key id has a dot, which ends the id in `KEY_ID.SECRET`.",
    "Use another id.",
)
KEY_IN_TWO_ACCOUNTS = _define(
    "E042",
    "A key id stands in two client accounts.",
    "Give one of the accounts another key: `mangospoke keys new`.",
)
RATE_NOT_SPLITTABLE = _define(
    "E043",
    "A rate or burst is too small to give each failure domain a share.",
    "Raise it, or give the account to fewer domains by `domain_weights`.",
)
WEIGHT_FOR_UNKNOWN_DOMAIN = _define(
    "E044",
    "A weight names a failure domain that isn't declared.",
    "Declare the domain, or take the weight out.",
)
NO_DOMAIN_HAS_WEIGHT = _define(
    "E045",
    "An account's weights leave no running failure domain a share.",
    "Give one a weight, or leave `domain_weights` out for equal shares.",
)
NO_WORKING_KEY = _define(
    "W040",
    "A client account has no key that works.",
    "Make one by `mangospoke keys new`.",
)
SAME_HASH_TWICE = _define(
    "W041",
    "Two keys have the same hash, so the same secret.",
    "Make a key for each use: `mangospoke keys new`.",
)
WEIGHT_FOR_LOST_DOMAIN = _define(
    "W042",
    "A weight names a failure domain that is lost.",
    "Take the weight out.",
)

UNKNOWN_SITE = _define(
    "E050",
    "An overlay's site has no failure domain.",
    "Mend the name, or give a domain of the base that site.",
)
TWO_OVERLAYS_FOR_SITE = _define(
    "E051", "Two overlays are for the same site.", "Join them into one file."
)
OVERLAY_UNKNOWN_SERVICE = _define(
    "E052",
    "An overlay names a service that the base doesn't declare.",
    "Mend the name, or take it out.",
)
OVERLAY_UNKNOWN_ROUTE = _define(
    "E053",
    "An overlay names a route that the base doesn't declare.",
    "Mend the name, or take it out.",
)
OVERLAY_UNKNOWN_ACCOUNT = _define(
    "E054",
    "An overlay names a client account that the base doesn't declare.",
    "Mend the name, or take it out.",
)
OVERLAY_UNKNOWN_KEY = _define(
    "E055",
    "An overlay withdraws a key that its account doesn't have.",
    "Mend the id, or take it out.",
)
OVERLAY_RAISES_RATE = _define(
    "E056",
    "An overlay raises an account's rate.",
    "An overlay can only lower it; raise it in the base.",
)
OVERLAY_RAISES_BURST = _define(
    "E057",
    "An overlay raises an account's burst.",
    "An overlay can only lower it; raise it in the base.",
)
OVERLAY_SETS_KEYS = _define(
    "E058",
    "An overlay names a key as in force.",
    "Keys are given in the base; an overlay can only name `withdrawn_keys`.",
)

SECRET_TOO_SHORT = _define(
    "E060",
    "A fleet secret is shorter than 32 characters.",
    "Use 32 random bytes in hexadecimal.",
)
LOCAL_NOT_LOOPBACK = _define(
    "E061",
    "The local listener isn't on a loopback address, so that other hosts could "
    "speak as this host's upstream.",
    "Use 127.0.0.1.",
)
SAME_ADDRESS_TWICE = _define(
    "E062", "Two listeners have the same address.", "Give each its own port."
)
MALFORMED_ADDRESS = _define(
    "E063", "An address isn't an IPv4 number and a port.", "Write it as 10.1.2.3:7000."
)
ADDRESS_NOT_DIALLABLE = _define(
    "E064",
    "A peer or control address is 0.0.0.0; it is told to other hosts, which can't "
    "dial that.",
    "Name the address under which other hosts reach this one.",
)
TRANSLATED_TO_SELF = _define(
    "E065",
    "A translated address leads to one of this host's own listeners.",
    "Name the other host's address as this host has to dial it.",
)
UNKNOWN_LOG_LEVEL = _define(
    "E066",
    "The log level is none that there is.",
    "Use one of TRACE, DEBUG, INFO, SUCCESS, WARNING, ERROR, CRITICAL.",
)
BUFFER_LARGER_THAN_BODY = _define(
    "E067",
    "The largest buffered body is larger than the largest body.",
    "Lower `buffered_body_bytes`, or raise `body_bytes`.",
)
HOST_IN_UNKNOWN_DOMAIN = _define(
    "E068",
    "The host's failure domain isn't declared in the base.",
    "Declare it, or mend the settings.",
)
HOST_AT_ANOTHER_SITE = _define(
    "E069",
    "The host's site isn't that of its failure domain in the base.",
    "Mend the settings: another site's overlay would apply.",
)
NO_SEEDS = _define(
    "W060",
    "There are no seeds, so that a start while the log service is down finds no peer.",
    "Name the control addresses of a few daemons in `seeds`.",
)
ONLY_OWN_SEED = _define(
    "W061",
    "The only seed is this host itself.",
    "Name the control addresses of other daemons.",
)
SEVERAL_TRANSLATED_ALIKE = _define(
    "W062",
    "Two addresses are translated to the same one.",
    "Check them: each daemon needs its own.",
)
PREVIOUS_SECRET_IS_CURRENT = _define(
    "W063",
    "A previous secret is the current one.",
    "End the rotation: take it out of `previous_secrets`.",
)
