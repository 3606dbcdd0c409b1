"""Whether the control daemons of a simulated fleet hold the same."""

import cbor2

from ..common import packed_operations


def plain_image(cluster_state):
    """A cluster state's whole image as bytes that don't depend on the order of its maps."""
    return cbor2.dumps(cbor2.loads(cluster_state.encode(cluster_state.image())), canonical=True)


def agreement_faults(nodes):
    """Faults in words: logs that differ where committed, cluster states that differ at one index, derived
    state that drifted, and images that would be restored to something else.
    """
    faults, entries, images = [], {}, {}
    for node in nodes:
        if node.kind != "accord" or node.core is None or node.core.consensus is None:
            continue
        faults.extend(_log_faults(node, entries))
        faults.extend(_state_faults(node, images))
    return faults


def _log_faults(node, entries):
    """Committed entries that differ from those of earlier nodes; `entries` gathers them by index."""
    consensus = node.core.consensus
    for index in range(consensus.first, consensus.applied_index + 1):
        entry = consensus.entry(index)
        text = packed_operations.dumps((entry[0], entry[2]))
        if entries.setdefault(index, text) != text:
            yield f"entry {index} differs at {node.name}"


def _state_faults(node, images):
    """Faults of one cluster state, and against earlier nodes'; `images` gathers them by index."""
    cluster_state = node.core.cluster_state
    try:
        cluster_state.audit()
    except AssertionError as broken:
        yield f"{node.name}: {broken}"
    encoded = cluster_state.encode(cluster_state.image())
    restored = type(cluster_state).decode(encoded, cluster_state.archive.segments)
    if restored.encode(restored.image()) != encoded:
        yield f"{node.name} would restart with another record than it holds"
    image = (encoded, cluster_state.archive.segments)
    other_name, other_image = images.setdefault(cluster_state.index, (node.name, image))
    if other_image != image:
        yield f"{node.name} and {other_name} differ at {cluster_state.index}"
