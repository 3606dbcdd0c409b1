"""Steps for Same bytes: the golden files beside what the code makes now."""

import copy
import json
import os
import sys

from behave import given, then, when

FEATURES = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, FEATURES)
try:
    from same_bytes import golden
finally:
    sys.path.remove(FEATURES)


@given("the golden files")
def step_golden(context):
    context.kept = golden.read()
    context.golden = copy.deepcopy(context.kept)


@then("no registered message, call, operation or way lacks an example")
def step_registered(context):
    assert not golden.lacking(context.golden), golden.lacking(context.golden)


@then("every kind of file on disk has an example")
def step_files(context):
    wanted = {
        "base with image",
        "step note consent",
        "step note identity",
        "step note joined",
        "step raft",
    }
    assert wanted <= set(context.golden["files"]), wanted - set(context.golden["files"])
    kinds = {name.partition("-")[0] for name in context.golden["folder"]["files"]}
    assert kinds == {"base", "step", "segment"}, kinds


@then("the metrics of both daemons have an example")
def step_metrics(context):
    held = {answer[0] for answer in context.golden["answers"] if "pinepitch_" in answer[3]}
    assert held == {"accord GET /v1/metrics", "product GET /v1/metrics"}, held


@when("the runs are recorded again")
def step_recorded(context):
    context.lines = golden.differences(context.golden, golden.in_process("record"))


@when("all golden bytes are decoded and encoded again")
def step_recoded(context):
    context.lines = golden.in_process("recode")


@then("nothing recorded differs from the golden files")
@then("nothing is other than it was")
def step_same(context):
    assert not context.lines, "\n".join(context.lines[:20])


@when("the runs are recorded by two processes with different orders of hashes")
def step_two_orders(context):
    context.sections = [golden.in_process("record", seed) for seed in (0, 1)]
    context.recorded = [one["answers"] for one in context.sections]


@then("every answer has the same bytes in both")
def step_same_answers(context):
    first, second = context.recorded
    assert len(first) == len(second)
    other = [pair for pair in zip(first, second, strict=False) if pair[0] != pair[1]]
    assert not other, other[:3]


@then("so has every file, image, segment, entry and frame")
def step_same_sections(context):
    first, second = context.sections
    assert any(name.startswith("segment-") for name in first["folder"]["files"])
    assert "base with image" in first["files"]
    for section in golden.SECTIONS:
        assert first[section] == second[section], section


@then("the keys of every answer are in order")
def step_keys_in_order(context):
    bodies = [body for _, _, head, body in context.recorded[0] if "application/json" in head]
    assert len(bodies) > 100
    for body in bodies:
        assert body == json.dumps(json.loads(body), sort_keys=True), body


# --- the checks themselves ------------------------------------------------------------
def _flipped(data):
    """Bytes whose middle one is another."""
    changed = bytearray(data)
    changed[len(changed) // 2] ^= 1
    return bytes(changed)


def _altered(text):
    return golden.text_of(_flipped(golden.bytes_of(text)))


def _altered_file(text):
    return golden.packed_text_of(_flipped(golden.packed_bytes_of(text)))


def _alter_frame(held):
    examples = held["frames"][min(held["frames"])]
    examples[0] = _altered(examples[0])


def _alter_operation(held):
    example = held["operations"][min(held["operations"])][0]
    example[0] = _altered(example[0])


def _alter_file(held):
    example = held["files"][min(held["files"])][0]
    example[1] = _altered_file(example[1])


def _alter_answer(held):
    answer = held["answers"][0]
    answer[3] = answer[3].replace("e", "f", 1)


def _alter_log(held):
    entry = held["log"]["entries"][0]
    entry[2] = _altered(entry[2])


def _alter_folder(held):
    files = held["folder"]["files"]
    files[min(files)] = _altered_file(files[min(files)])


def _alter_order(held):
    order = held["orders"][min(held["orders"])][0]
    order["task"] = order["task"] + "0"


def _alter_settings(held):
    held["settings"]["core"][0][0] += "x"


ALTER = {
    "frame": _alter_frame,
    "operation": _alter_operation,
    "file": _alter_file,
    "answer": _alter_answer,
    "entry of the log": _alter_log,
    "file of the folder": _alter_folder,
    "order": _alter_order,
    "settings": _alter_settings,
}


@when("one byte of the first {example} is altered")
def step_alter(context, example):
    ALTER[example](context.golden)


@then("the comparison with the golden files names {section}")
def step_named(context, section):
    lines = golden.differences(context.golden, context.kept)
    assert len(lines) == 1 and lines[0].startswith(section + ":"), lines


@then("decoding and encoding again names it, or refuses it")
def step_refused(context):
    before = golden.recoded(context.kept)  # in this process the order of hashes is another
    try:
        lines = golden.recoded(context.golden)
    except Exception as fault:  # cbor2, zlib and the record refuse in many ways; all count
        lines = [repr(fault)]
    assert set(lines) - set(before), lines


@when("the examples of one message, one operation and one way are left out")
def step_leave_out(context):
    del context.golden["frames"]["raft vote"]
    for label in [one for one in context.golden["operations"] if one.startswith("place ")]:
        del context.golden["operations"][label]
    context.golden["answers"] = [
        one for one in context.golden["answers"] if one[0] != "product GET /v1/holds"
    ]


@then("each of them is named as lacking")
def step_lacking(context):
    assert golden.lacking(context.golden) == [
        "frames: raft vote",
        "operations: place",
        "answers: product GET /v1/holds",
    ], golden.lacking(context.golden)
