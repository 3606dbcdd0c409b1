"""Steps for Store: real files in a folder of their own."""

import errno
import hashlib
import os
import subprocess
import sys
import tempfile
from unittest import mock

import cbor2
from behave import given, then, when

from pinepitch.common import constants
from pinepitch.control.startup import identity_of, open_store
from pinepitch.storage.store import Damaged, Store


def folder_of(context):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    store = Store(folder.name)
    store.load()
    return store


def path(context, version):
    return os.path.join(context.folder, f"step-{version:016d}")


@given("a store with {count:d} steps")
def step_store(context, count):
    store = folder_of(context)
    for number in range(1, count + 1):
        store.write_step([["note", ["identity", "old"]]] if number == 1 else [["raft", number]])
    assert store.syncs == count


@given("a store with 5 steps and a base after the third")
def step_based(context):
    store = folder_of(context)
    for number in range(1, 6):
        store.write_step(number)
        if number == 3:
            store.write_base(["base", (1, 0)], store.version)


@given("a store whose writes fail for lack of space")
def step_full(context):
    context.store = folder_of(context)
    context.store.write_step("first")


@when("the newest file is cut short")
def step_partition(context):
    with open(path(context, 5), "r+b") as file:
        file.truncate(40)


@when("a bit of an older file is flipped")
def step_flip(context):
    with open(path(context, 2), "r+b") as file:
        file.seek(33)
        byte = file.read(1)
        file.seek(33)
        file.write(bytes([byte[0] ^ 1]))


@when("a file between is gone")
def step_gone(context):
    os.unlink(path(context, 3))


@when("a file has {version} version")
def step_other(context, version):
    body = cbor2.dumps((constants.FILE_VERSION + (1 if version == "a newer" else -1), "from elsewhere"))
    with open(path(context, 5), "wb") as file:
        file.write(hashlib.sha256(body).digest() + body)
    context.files = {
        name: open(os.path.join(context.folder, name), "rb").read() for name in os.listdir(context.folder)
    }


@then("a control daemon on it does not start, says which version it reads, and touches nothing")
def step_foreign(context):
    ended = subprocess.run(
        [
            sys.executable,
            "-c",
            "from pinepitch.control.program import main; main()",
            "--address=127.0.0.1:1",
            "--zone=a",
            f"--data={context.folder}",
            "--seeds=127.0.0.1:1,127.0.0.1:2,127.0.0.1:3",
        ],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert ended.returncode == 2 and f"reads {constants.FILE_VERSION}" in ended.stderr, ended
    assert "Traceback" not in ended.stderr and len(ended.stderr.strip().splitlines()) == 1, ended.stderr
    assert context.files == {
        name: open(os.path.join(context.folder, name), "rb").read() for name in os.listdir(context.folder)
    }


@when("a file written aside is left over")
def step_aside(context):
    with open(path(context, 6) + ".aside", "wb") as file:
        file.write(b"half")


@then("loading it again gives all 5 in order")
def step_all(context):
    base, steps, _ = Store(context.folder).load()
    assert base is None and len(steps) == 5 and [one[0][1] for one in steps[1:]] == [2, 3, 4, 5], steps
    assert not [name for name in os.listdir(context.folder) if name.endswith(".aside")]


@then("loading it again gives the base and the 2 later steps")
def step_base(context):
    assert Store(context.folder).load() == (["base", [1, 0]], [4, 5], {})


@then("loading it again says that it is damaged")
def step_damaged(context):
    assert isinstance(Store(context.folder).load(), Damaged)


@then("a control daemon on it starts with a new identity and keeps the old files aside")
def step_new(context):
    store, base, steps, _, why = open_store(context.folder)
    assert why and base is None and not steps
    assert identity_of(store, base, steps) != "old"
    assert [name for name in os.listdir(context.folder) if name.startswith("damaged-")]
    again = open_store(context.folder)
    assert again[4] is None and identity_of(*again[:3]) == identity_of(*open_store(context.folder)[:3])


FAILING = {
    "opening": ("open", 0),
    "writing": ("write", 0),
    "syncing": ("fsync", 0),
    "renaming": ("replace", 0),
    "folder syncing": ("fsync", 1),
}


@when("writing fails at {step} and is tried again with more in it")
def step_fails(context, step):
    store = Store(context.folder)
    store.load()
    call, passing = FAILING[step]
    real, calls = getattr(os, call), []

    def failing(*arguments, **named):
        calls.append(arguments)
        if len(calls) > passing:
            raise OSError(errno.EIO, "planted")
        return real(*arguments, **named)

    with mock.patch(f"os.{call}", failing):
        try:
            store.write_step("half")
        except OSError:
            context.raised = True
    assert context.raised and store.version == 5
    # a kill here may leave the step or not, but never a damaged store
    assert Store(context.folder).load()[1][5:] in ([], ["half"])
    store.write_step("half and more")


@then("the 5 steps and the one tried again are there, and nothing else")
def step_again(context):
    base, steps, _ = Store(context.folder).load()
    assert base is None and len(steps) == 6 and steps[5] == "half and more", steps
    assert sorted(os.listdir(context.folder)) == [f"step-{one:016d}" for one in range(1, 7)]


@when("a base is written beside two more steps")
def step_beside(context):
    store = Store(context.folder)
    store.load()
    version, real = store.version, os.replace

    def slowly(source, target):
        if "base" in target:  # while it is on its way to its name, others get theirs
            with mock.patch("os.replace", real):
                store.write_step(4)
                store.write_step(5)
        return real(source, target)

    with mock.patch("os.replace", slowly):
        store.write_base(["base", (1, 0)], version)


@then("writing a step raises and the step is not there afterwards")
def step_raises(context):
    with mock.patch("os.write", side_effect=OSError(errno.ENOSPC, "no space")):
        try:
            context.store.write_step("second")
        except OSError:
            pass
        else:
            raise AssertionError("a full disk went unnoticed")
    assert Store(context.folder).load() == (None, ["first"], {})
