"""The settings of one daemon, from a TOML file and flags (flags take precedence)."""

import functools
import ipaddress
import tomllib
from collections.abc import Mapping
from typing import NamedTuple

import voluptuous

from . import constants


class Settings(NamedTuple):
    """Checked settings. Invariant: every field has passed its check. `mode` is the quorum mode. A front
    daemon uses none of `data`, `bootstrap_members`, `mode`, `rules` and `disk`.
    """

    address: str
    zone: str
    seeds: tuple[str, ...]
    data: str | None
    level: str
    bootstrap_members: int
    mode: str
    http: str | None
    rules: str | None
    memory: int = constants.MEMORY  # bytes
    disk: int = constants.DISK  # bytes
    descriptors: int = constants.DESCRIPTORS


def address(text: object) -> str:
    """Returns `text` if it is a numeric IP:PORT. Host names are refused because nothing here resolves
    them. Raises voluptuous.Invalid with the reason otherwise.
    """
    if not isinstance(text, str) or ":" not in text:
        raise voluptuous.Invalid("expected IP:PORT")
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise voluptuous.Invalid("expected an IP number before the port") from None
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
        raise voluptuous.Invalid("expected a port from 1 to 65535")
    return text


def is_address(text: str) -> bool:
    """Whether a text is a valid address to connect to. Short texts are remembered, as the same ones come
    with most messages.
    """
    return _is_address(text) if len(text) > constants.MAX_REMEMBERED_LENGTH else _is_known_address(text)


@functools.lru_cache(maxsize=1024)
def _is_known_address(text: str) -> bool:
    return _is_address(text)


def _is_address(text: str) -> bool:
    try:
        address(text)
    except voluptuous.Invalid:
        return False
    return True


def split(text: str) -> tuple[str, int]:
    """Splits a checked address into (host, port)."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def _seeds(value: object) -> tuple[str, ...]:
    if isinstance(value, str):
        value = [part.strip() for part in value.split(",") if part.strip()]
    if not isinstance(value, (list, tuple)):
        raise voluptuous.Invalid("expected a list of addresses")
    if len(value) != constants.SEEDS:
        raise voluptuous.Invalid(f"expected exactly {constants.SEEDS} addresses, got {len(value)}")
    return tuple(address(seed) for seed in value)


def _text(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= constants.MAX_NAME_LENGTH:
        raise voluptuous.Invalid(f"expected a text of 1 to {constants.MAX_NAME_LENGTH} characters")
    return value


def _bootstrap_members(value: object) -> int:
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not 1 <= value <= constants.MAX_CLUSTER_MEMBERS
    ):
        raise voluptuous.Invalid(f"expected a whole number from 1 to {constants.MAX_CLUSTER_MEMBERS}")
    return value


def _megabytes(value: object) -> int:
    """Converts a whole number of megabytes to bytes."""
    if isinstance(value, bool) or not isinstance(value, int) or value < constants.MIN_MEGABYTES:
        raise voluptuous.Invalid(f"expected a whole number of at least {constants.MIN_MEGABYTES}")
    return value * 1_000_000


def _descriptors(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < constants.MIN_DESCRIPTORS:
        raise voluptuous.Invalid(f"expected a whole number of at least {constants.MIN_DESCRIPTORS}")
    return value


LEVELS = ("debug", "info", "warning", "error", "critical")
COMMON_FIELDS = {
    voluptuous.Required("address"): address,
    voluptuous.Required("area"): _text,
    voluptuous.Required("seeds"): _seeds,
    voluptuous.Optional("level", default="info"): voluptuous.In(LEVELS),
    voluptuous.Optional("memory_mb", default=constants.MEMORY // 1_000_000): _megabytes,
    voluptuous.Optional("descriptors", default=constants.DESCRIPTORS): _descriptors,
}
SCHEMAS = {
    "accord": voluptuous.Schema(
        {
            **COMMON_FIELDS,
            voluptuous.Required("data"): _text,
            voluptuous.Optional("founders", default=constants.BOOTSTRAP_MEMBERS): _bootstrap_members,
            voluptuous.Optional("mode", default="static"): voluptuous.In(("static", "dynamic", "single")),
            voluptuous.Optional("http"): address,
            voluptuous.Optional("rules"): _text,
            voluptuous.Optional("disk_mb", default=constants.DISK // 1_000_000): _megabytes,
        }
    ),
    "verge": voluptuous.Schema({**COMMON_FIELDS, voluptuous.Required("http"): address}),
}


def read(
    program: str, path: str | None, flags: Mapping[str, object]
) -> tuple[Settings, tuple[()]] | tuple[None, tuple[str, ...]]:
    """(Settings, ()) or (None, faults): one line per fault, with all faults reported at once."""
    values: dict[str, object] = {}
    if path:
        try:
            with open(path, "rb") as file:
                values = tomllib.load(file)
        except (OSError, tomllib.TOMLDecodeError) as fault:
            return None, (f"{path}: {fault}",)
    values.update({name: value for name, value in flags.items() if value is not None})
    try:
        checked = SCHEMAS[program](values)
    except voluptuous.MultipleInvalid as invalid:
        return None, tuple(f"{'.'.join(map(str, error.path))}: {error.msg}" for error in invalid.errors)
    return Settings(
        checked["address"],
        checked["area"],
        checked["seeds"],
        checked.get("data"),
        checked["level"],
        checked.get("founders", constants.BOOTSTRAP_MEMBERS),
        checked.get("mode", "static"),
        checked.get("http"),
        checked.get("rules"),
        checked["memory_mb"],
        checked.get("disk_mb", constants.DISK),
        checked["descriptors"],
    ), ()
