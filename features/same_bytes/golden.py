"""The golden files: made once by the code as it was, and compared with what the code makes now.

To make them anew, from the root of the repository (only where a change of bytes is meant, which
also needs another WIRE_VERSION or FILE_VERSION):

    PYTHONPATH=src:features PYTHONHASHSEED=0 python -m same_bytes.golden write

The order of an immutables.Map follows the hashes of its keys, so everything is recorded by a
process of its own with PYTHONHASHSEED=0: `... golden record` prints it as JSON.
"""

import base64
import contextlib
import functools
import hashlib
import json
import os
import subprocess
import sys
import zlib

import cbor2

from . import runs, taps

FOLDER = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "data", "golden")
SECTIONS = ("frames", "operations", "log", "files", "folder", "answers", "orders", "settings")
SHAPES_KEPT = 2  # examples of one label
BYTES_MOST = 3000  # of an example, where a smaller one comes up
LOG_KEPT = 160  # entries of the whole log


def text_of(data):
    return base64.b64encode(data).decode()


def bytes_of(text):
    return base64.b64decode(text)


def packed_text_of(data):
    return text_of(zlib.compress(data))


def packed_bytes_of(text):
    return zlib.decompress(bytes_of(text))


def digest_of(data):
    return hashlib.sha256(data).hexdigest()


def shape(value, depth=3):
    """The structure of an encoded value, without its contents."""
    if isinstance(value, (list, tuple)):
        if depth == 0 or not value:
            return "[...]" if value else "[]"
        return "[" + ",".join(shape(one, depth - 1) for one in value[:12]) + "]"
    if isinstance(value, dict):
        return "{...}" if value else "{}"
    return type(value).__name__


class Recorder:
    """Keeps the first examples of each label and shape. Invariant: what is kept depends on the
    runs alone."""

    def __init__(self):
        self.frames, self.operations, self.files, self.orders = {}, {}, {}, {}
        self.shapes = set()
        self.large = {}  # (section, label) -> the first example that is large
        self.log, self.logged = [], 0
        self.answers = []
        self.replies = {}
        self.folder = {}
        self.records = True  # whether operations that are applied count

    @contextlib.contextmanager
    def paused(self):
        """While it lasts, operations that are applied don't count."""
        self.records = False
        try:
            yield
        finally:
            self.records = True

    def _keep(self, section, label, form, example, size):
        kept = getattr(self, section).setdefault(label, [])
        if size > BYTES_MOST:
            self.large.setdefault((section, label), example)
        elif len(kept) < SHAPES_KEPT and (section, label, form) not in self.shapes:
            self.shapes.add((section, label, form))
            kept.append(example)

    def frame(self, frame):
        message = taps.message_of(frame)
        label = message[0]
        if label == "raft":
            label = f"raft {message[4][0]}"
        elif label == "ask":
            label = f"ask {message[3]}"
        elif label == "answer":
            label = f"answer {message[3][0]} {message[2][0]}"
        self._keep("frames", label, shape(message), text_of(frame), len(frame))

    def operation(self, index, time, operation, outcome):
        told = cbor2.loads(operation)
        result = cbor2.loads(outcome)
        label = f"{told[0]} {result[0] if result else ''}"
        self._keep("operations", label, shape(told), [text_of(operation), text_of(outcome)], len(operation))
        if index == self.logged + 1 and self.logged < LOG_KEPT:
            self.logged = index
            self.log.append([index, time, text_of(operation)])

    def file(self, kind, content):
        payload = cbor2.loads(content)
        if kind == "base":
            label = f"base {'with' if payload[2][-1] else 'without'} image"
        else:
            parts = {f"{one} {change[0]}" if one == "note" else one for one, change in payload}
            label = "step " + " and ".join(sorted(parts))
        if any(known == label for known in self.files) and len(self.files[label]) >= SHAPES_KEPT:
            return
        name, data = taps.written(kind, payload)
        self._keep("files", label, shape(payload, 4), [name, packed_text_of(data)], len(data))

    def reply(self, request, status, document, headers):
        self.replies[request] = (status, document, tuple(headers))

    def order(self, path, document):
        data = json.dumps(document)
        self._keep("orders", path, shape(sorted(document)), document, len(data))

    def answer(self, label, request, status, document, headers):
        head, _, body = taps.answer_bytes(status, document, headers).decode().partition("\r\n\r\n")
        self.answers.append([label, request, head, body])

    def sections(self):
        """Everything recorded, by section, as JSON represents it."""
        for (section, label), example in self.large.items():
            kept = getattr(self, section)[label]
            if not kept:
                kept.append(example)
        outcomes, image = taps.applied([(index, time, bytes_of(data)) for index, time, data in self.log])
        folder = {name: packed_text_of(data) for name, data in sorted(self.folder.items())}
        return {
            "frames": self.frames,
            "operations": self.operations,
            "log": {
                "entries": self.log,
                "outcomes": [text_of(one) for one in outcomes],
                "image": digest_of(image),
            },
            "files": self.files,
            "folder": {"files": folder, "image": digest_of(taps.restored(self.folder)[0])},
            "answers": self.answers,
            "orders": self.orders,
            "settings": {name: taps.settings(*one) for name, one in runs.SETTINGS.items()},
        }


def record():
    """What the code makes now, by section."""
    recorder = Recorder()
    for message in runs.SCRIPTED:
        recorder.frame(taps.frame_of(message))
    for operation, outcome in taps.scripted(runs.SCRIPTED_OPERATIONS):
        recorder.operation(0, 0.0, operation, outcome)
    with taps.tapped(recorder):
        for run in runs.RUNS:
            recorder.replies.clear()  # each run numbers its requests anew
            run(recorder)
            recorder.logged = LOG_KEPT  # the log that is kept whole is the first run's
    return recorder.sections()


def read():
    """The golden files, by section."""
    found = {}
    for section in SECTIONS:
        with open(os.path.join(FOLDER, f"{section}.json")) as file:
            found[section] = json.load(file)
    return found


def write(sections):
    """Puts what was recorded in the place of the golden files."""
    os.makedirs(FOLDER, exist_ok=True)
    for section in SECTIONS:
        with open(os.path.join(FOLDER, f"{section}.json"), "w") as file:
            json.dump(sections[section], file, indent=0, sort_keys=section not in ("answers",))
            file.write("\n")


@functools.cache
def in_process(command, seed=0):
    """What a command of this module prints in a process of its own, with its own order of hashes; the
    same again when it is asked for again, and not to be changed."""
    root = os.path.dirname(os.path.dirname(FOLDER))
    path = os.pathsep.join([root, *(one for one in sys.path if one)])
    done = subprocess.run(
        [sys.executable, "-m", "same_bytes.golden", command],
        env={**os.environ, "PYTHONHASHSEED": str(seed), "PYTHONPATH": path},
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise AssertionError(done.stderr)
    return json.loads(done.stdout)


# --- comparing ------------------------------------------------------------------------
def _answer_parsed(answer):
    """An answer whose body counts as JSON where it is JSON, with the faults of a document in order:
    like that of the keys, their order differed from process to process when the files were made."""
    label, request, head, body = answer
    if "application/json" not in head:
        return label, request, head, body
    told = json.loads(body)
    for part in (told, told.get("error")):
        if isinstance(part, dict) and "faults" in part:
            part["faults"].sort(key=lambda fault: (fault["path"], fault["message"]))
    return label, request, head, told


def differences(golden, now):
    """The differences between what is recorded now and the golden files, as lines."""
    lines = []
    for section in SECTIONS:
        if section == "answers":
            for known, made in zip(golden[section], now[section], strict=False):
                if _answer_parsed(known) != _answer_parsed(made):
                    lines.append(f"answers: {known[0]}: {known[1:]} is now {made[1:]}")
            if len(golden[section]) != len(now[section]):
                lines.append(f"answers: {len(golden[section])} are now {len(now[section])}")
            continue
        for label in sorted({*golden[section], *now[section]}):
            if golden[section].get(label) != now[section].get(label):
                lines.append(f"{section}: {label} is other than it was")
    return lines


def recoded(golden):
    """What of the golden bytes is other once it is decoded and encoded again, as lines."""
    lines = []

    def same(what, before, after):
        if before != after:
            lines.append(f"{what} is other once it is encoded again")

    for label, examples in golden["frames"].items():
        for text in examples:
            data = bytes_of(text)
            same(f"frame {label}", data, taps.frame_again(data))
            if not taps.fits_contract(data):
                lines.append(f"frame {label} breaks its contract")
    for label, examples in golden["operations"].items():
        for text, _ in examples:
            data = bytes_of(text)
            same(f"operation {label}", data, taps.operation_again(data))
            same(f"operation {label}, held encoded,", data, taps.operation_held_encoded(data))
    for label, examples in golden["files"].items():
        for name, text in examples:
            data = packed_bytes_of(text)
            same(f"file {label}", data, taps.file_again(name, data))
    log = golden["log"]
    entries = [(index, time, bytes_of(data)) for index, time, data in log["entries"]]
    outcomes, image = taps.applied(entries)
    same("the log's outcomes", log["outcomes"], [text_of(one) for one in outcomes])
    same("the image that the log makes", log["image"], digest_of(image))
    folder = {name: packed_bytes_of(text) for name, text in golden["folder"]["files"].items()}
    for name, data in folder.items():
        same(f"file {name} of the folder", data, taps.file_again(name, data))
    image, snapshot, sealed = taps.restored(folder)
    same("the record restored from the folder", golden["folder"]["image"], digest_of(image))
    same("the snapshot of the folder", *snapshot)
    for number, (before, after) in sealed.items():
        same(f"segment {number}", before, after)
    return lines


def lacking(golden):
    """The registered kinds of which the golden files contain no example."""
    held = {section: list(golden[section]) for section in ("frames", "operations")}
    held["answers"] = [answer[0] for answer in golden["answers"]]
    return [
        f"{section}: {wanted}"
        for section, kinds in taps.registered().items()
        for wanted in sorted(kinds)
        if not any(label == wanted or label.startswith(wanted + " ") for label in held[section])
    ]


COMMANDS = {
    "record": record,
    "recode": lambda: recoded(read()),
    "write": lambda: write(record()),
}


if __name__ == "__main__":
    print(json.dumps(COMMANDS[sys.argv[1]]()))
