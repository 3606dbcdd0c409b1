"""How an accord opens its data folder: the store, and the identity that stands in it."""

import secrets

from ..consensus.log import packed_step
from ..storage.store import Damaged, Foreign, Store


def open_store(folder):
    """(store, base, steps, segments, why it was damaged or None); a damaged store counts as
    empty, one of another version is left as it is: OSError says so."""
    store = Store(folder)
    loaded = store.load(packed_step)
    if isinstance(loaded, Foreign):
        raise OSError(
            f"{loaded.why}; run the version that wrote it, or give an empty folder to start as a newcomer"
        )
    if isinstance(loaded, Damaged):
        store.wipe()
        return store, None, [], {}, loaded.why
    return store, *loaded, None


def identity_of(store, base, steps):
    """The store's identity; an empty store gets a new one, durable before it is used."""
    if base is not None:
        return base[0]
    for step in steps:
        for kind, payload in step:
            if kind == "note" and payload[0] == "identity":
                return payload[1]
    identity = secrets.token_hex(6)
    store.write_step([["note", ["identity", identity]]])
    return identity
