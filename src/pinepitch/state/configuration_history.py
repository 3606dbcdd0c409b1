"""The history of setups: every version ever in force, most kept as what they changed."""

import cbor2

from ..common import constants
from ..model.queue_settings import merged


def difference(before, after):
    """The merge patch that makes `after` of `before`, or None where a null stands in the
    way, which no patch can say."""
    patch = {member: None for member in before if member not in after}
    for member, value in after.items():
        old = before.get(member)
        if value is old and value is not None:
            continue
        if isinstance(value, dict) and isinstance(old, dict):
            inner = difference(old, value)
            if inner is None:
                return None
            if inner:
                patch[member] = inner
        elif member not in before or type(old) is not type(value) or old != value:
            if not _expressible(value):
                return None
            patch[member] = value
    return patch


def _expressible(value):
    if isinstance(value, dict):
        return all(map(_expressible, value.values()))
    return value is not None


class ConfigurationHistory:
    """Invariants: lines has one line a version, from 1 on without a gap, each (version, who,
    why, time, base, kind, content); a "whole" one holds the checked setup, a "patch" what
    it changed in the version before; since the last whole one there are fewer than
    QUEUE_CONFIGURATION_FULL_EVERY patches, and they hold fewer bytes than a whole one. Lines are only
    added."""

    def __init__(self, lines=()):
        self.lines = [tuple(one) for one in lines]
        self.patched = 0  # bytes of patches since the last whole line
        self.size = 0  # bytes of that whole line
        self._newest = None  # (version, setup) of the newest line
        self._read = None  # (version, setup) that was read last, to go on from
        for line in self.lines:
            self._measure(line)

    def image(self):
        return tuple(self.lines)

    def _measure(self, line):
        size = len(cbor2.dumps(line[6]))
        if line[5] == "whole":
            self.size, self.patched = size, 0
        else:
            self.patched += size

    def add(self, version, configuration, who, why, time, base):
        """The next version is in force."""
        line = (version, who, why, time, base, "whole", configuration)
        if self.lines:
            before = self._newest[1] if self._newest else self.read(version - 1)
            patch = difference(before, configuration)
            has_recent_whole = any(
                one[5] == "whole" for one in self.lines[-constants.QUEUE_CONFIGURATION_FULL_EVERY :]
            )
            if (
                patch is not None
                and has_recent_whole
                and (
                    len(cbor2.dumps(patch)) + self.patched
                    < max(self.size, constants.QUEUE_CONFIGURATION_SMALL)
                )
            ):
                line = (version, who, why, time, base, "patch", patch)
        self.lines.append(line)
        self._measure(line)
        self._newest = (version, configuration)

    def line(self, version):
        """(version, who, why, time, base, ...) of a version, or None."""
        return self.lines[version - 1] if 0 < version <= len(self.lines) else None

    def read(self, version):
        """The whole setup of a version, or None."""
        if self.line(version) is None:
            return None
        base_version = version
        while self.lines[base_version - 1][5] != "whole" and not (
            self._read and self._read[0] == base_version
        ):
            base_version -= 1
        configuration = (
            self._read[1] if self._read and self._read[0] == base_version else self.lines[base_version - 1][6]
        )
        for one in range(base_version + 1, version + 1):
            configuration = merged(configuration, self.lines[one - 1][6])
        self._read = (version, configuration)
        return configuration
