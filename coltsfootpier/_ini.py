"""Parser for INI text whose keys have types and bounds.

Settings and declarations are both parsed by this module. It reports all invalid keys of a text at
once, but only the first syntax error.
"""

from __future__ import annotations

import configparser
import difflib
import ipaddress
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from coltsfootpier.exceptions import Problem

_TRUE = frozenset({"yes", "true", "on", "1"})
_FALSE = frozenset({"no", "false", "off", "0"})
_REQUIRED = object()


@attrs.frozen(kw_only=True)
class Key:
    """Definition of one key of a section.

    Parameters
    ----------
    name : str
        Name in the INI text.
    convert : callable
        Function that converts the text of a value; raises ``ValueError`` if it is not allowed.
    allowed : str
        Description of the allowed values, for error messages and reference pages.
    default : object
        Converted value used when the key is absent; a key without a default is required.
    unit : str
        Unit of the value; empty if it has none.
    description : str
        Purpose of the key.
    """

    name: str
    convert: Callable[[str], Any]
    allowed: str
    default: Any = _REQUIRED
    unit: str = ""
    description: str = ""

    @property
    def required(self) -> bool:
        """Whether the key has no default and must be given."""
        return self.default is _REQUIRED


def _collect_options(default: Any, unit: str, description: str) -> dict[str, Any]:
    return {"default": default, "unit": unit, "description": description}


def number(
    name: str,
    *,
    minimum: float,
    maximum: float,
    default: Any = _REQUIRED,
    integer: bool = True,
    unit: str = "",
    description: str = "",
) -> Key:
    """Define a key whose value is a number within inclusive bounds."""

    def convert(text: str) -> float:
        value = int(text) if integer else float(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    kind = "whole number" if integer else "number"
    allowed = f"{kind} from {minimum:g} to {maximum:g}"
    return Key(
        name=name, convert=convert, allowed=allowed, **_collect_options(default, unit, description)
    )


def flag(name: str, *, default: Any = _REQUIRED, description: str = "") -> Key:
    """Define a key whose value is yes or no, also written true, on, 1, false, off or 0."""

    def convert(text: str) -> bool:
        if text.lower() not in _TRUE | _FALSE:
            raise ValueError(text)
        return text.lower() in _TRUE

    return Key(
        name=name, convert=convert, allowed="yes or no", default=default, description=description
    )


def choice(
    name: str, *, options: Sequence[str], default: Any = _REQUIRED, description: str = ""
) -> Key:
    """Define a key whose value is one of several fixed words."""

    def convert(text: str) -> str:
        if text not in options:
            raise ValueError(text)
        return text

    allowed = "one of " + ", ".join(options)
    return Key(
        name=name, convert=convert, allowed=allowed, default=default, description=description
    )


def words(name: str, *, default: Any = _REQUIRED, description: str = "") -> Key:
    """Define a key whose value is a list of words separated by commas or spaces."""

    def convert(text: str) -> tuple[str, ...]:
        return tuple(text.replace(",", " ").split())

    return Key(
        name=name,
        convert=convert,
        allowed="names separated by commas",
        default=default,
        description=description,
    )


def text(name: str, *, default: Any = _REQUIRED, description: str = "") -> Key:
    """Define a key whose value is any non-empty text."""

    def convert(value: str) -> str:
        if not value:
            raise ValueError(value)
        return value

    return Key(
        name=name,
        convert=convert,
        allowed="a text that isn't empty",
        default=default,
        description=description,
    )


def address(name: str, *, default: Any = _REQUIRED, description: str = "") -> Key:
    """Define a key whose value is ``IP:PORT``, converted to a pair of str and int."""

    return Key(
        name=name,
        convert=parse_address,
        allowed="IP:PORT",
        default=default,
        description=description,
    )


def addresses(name: str, *, default: Any = _REQUIRED, description: str = "") -> Key:
    """Define a key whose value is a list of ``IP:PORT``, converted to a tuple of str."""

    def convert(value: str) -> tuple[str, ...]:
        parts = tuple(value.replace(",", " ").split())
        for part in parts:
            parse_address(part)
        return parts

    return Key(
        name=name,
        convert=convert,
        allowed="IP:PORT, separated by commas",
        default=default,
        description=description,
    )


def parse_address(value: str) -> tuple[str, int]:
    """Parse an address in the form ``IP:PORT``, with or without square brackets around the IP.

    Returns
    -------
    host : str
        IP address without brackets.
    port : int
        Port number.

    Raises
    ------
    ValueError
        If the text isn't an IP address with a port from 0 to 65535.

    Examples
    --------
    >>> parse_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError(value)
    return host.strip("[]"), int(port)


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a hint for an unknown name: the closest known name, or all known names."""
    known = sorted(known)
    closest = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    return f"did you mean {closest[0]!r}?" if closest else "one of " + ", ".join(known)


def parse_sections(
    source: str, content: str
) -> Result[dict[str, dict[str, str]], tuple[Problem, ...]]:
    """Split INI text into sections, without converting the values.

    Parameters
    ----------
    source : str
        File name used in error messages.
    content : str
        INI text.

    Returns
    -------
    Result of dict or tuple of Problem
        Text of each value by section and key, or the first syntax error as the only problem.
    """
    # The keys of a default section would apply to all other sections. No text is expected to use
    # this name, so that [DEFAULT] is parsed like any other section.
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(content, source)
    except configparser.DuplicateSectionError as error:
        return Failure(
            (_build_syntax_problem(source, error.section, "", "a section name used once"),)
        )
    except configparser.DuplicateOptionError as error:
        return Failure(
            (_build_syntax_problem(source, error.section, error.option, "a key given once"),)
        )
    except configparser.Error as error:
        message = " ".join(str(error).split())
        return Failure((_build_syntax_problem(source, "", "", f"INI text ({message})"),))
    return Success({name: dict(parser.items(name)) for name in parser.sections()})


def _build_syntax_problem(source: str, section: str, key: str, allowed: str) -> Problem:
    return Problem(source=source, section=section, key=key, found=key or section, allowed=allowed)


def convert_section(
    source: str, section: str, raw_values: Mapping[str, str], keys: Sequence[Key]
) -> tuple[dict[str, Any], list[Problem]]:
    """Convert and validate the keys of one section.

    Parameters
    ----------
    source, section : str
        Location of the keys, used in error messages.
    raw_values : Mapping of str to str
        Text of each value by key name.
    keys : sequence of Key
        Definitions of the known keys.

    Returns
    -------
    values : dict
        Converted values by key name, with defaults filled in; keys with a problem are absent.
    problems : list of Problem
        Unknown keys, missing required keys and values that aren't allowed.
    """
    known = {key.name: key for key in keys}
    problems = [
        Problem(source=source, section=section, key=name, found=name, allowed=suggest(name, known))
        for name in raw_values
        if name not in known
    ]
    values: dict[str, Any] = {}
    for key in keys:
        if key.name not in raw_values:
            if key.required:
                problems.append(
                    Problem(
                        source=source,
                        section=section,
                        key=key.name,
                        found="",
                        allowed=f"required: {key.allowed}",
                    )
                )
            else:
                values[key.name] = key.default
            continue
        raw_value = raw_values[key.name].strip()
        try:
            values[key.name] = key.convert(raw_value)
        except ValueError:
            problems.append(
                Problem(
                    source=source,
                    section=section,
                    key=key.name,
                    found=raw_value,
                    allowed=key.allowed,
                )
            )
    return values, problems
