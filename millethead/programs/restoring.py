"""A snapshot file put on the empty disk of one machine, from which a core begins again after all disks were lost.

The machine becomes the only voter of a view that goes on from the snapshot's; the others start with empty disks and
join it as machines do that were replaced. The view's epoch is the fence of all orders to workers, and workers refuse a
fence below the highest that they have seen: so the epoch jumps beyond any that the lost core can have reached.
"""

from __future__ import annotations

import errno
import os
import secrets
from dataclasses import dataclass
from pathlib import Path

from millethead.programs.core_disk import ACCEPTOR_NAME
from millethead.programs.offline import LogReport
from millethead.replication.view import ChainMember, Member, View
from millethead.rollout.register import AcceptorState
from millethead.rpc.codec import encode
from millethead.storage.files import OS_FILES
from millethead.storage.identity import DISK_ID_BITS, load_identity
from millethead.storage.log import LogFile
from millethead.storage.records import Snapshot
from millethead.storage.register_file import RegisterFile

EPOCH_MARGIN = 1 << 20  # changes of view after the snapshot that the lost core can have made at most


@dataclass(frozen=True, slots=True)
class Restored:
    """What was put on the disk."""

    member: Member
    view: View
    snapshot: Snapshot


def restore_snapshot(report: LogReport, folder: Path, address: str) -> Restored:
    """Put the state of a snapshot file on the disk at `folder`, which must be empty or missing, of the machine that
    takes internal calls at `address` (host:port). Durable when it returns; cut short, the folder is to be emptied and
    the restore done again. Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise OSError(errno.ENOTEMPTY, os.strerror(errno.ENOTEMPTY), str(folder))
    identity = load_identity(folder, False, lambda: secrets.randbits(DISK_ID_BITS))
    member = Member(address, identity.disk_id)
    snapshot = Snapshot(report.last_epoch, report.last_sequence, report.state.snapshot())
    view = _first_view(member, report.last_epoch)
    log = LogFile(folder)
    try:
        log.rewrite(snapshot, ())
    finally:
        log.close()
    register = RegisterFile(OS_FILES, folder / ACCEPTOR_NAME)
    register.load()  # makes the file
    ballot = (view.epoch, member.name)
    register.save(AcceptorState(ballot, ballot, encode(view)))
    register.save_copy()
    return Restored(member, view, snapshot)


def _first_view(member: Member, last_epoch: int) -> View:
    """The member alone. It has been in every chain since the snapshot's epoch: its log holds all that there is."""
    place = ChainMember(member, secrets.randbits(63), last_epoch)
    return View(last_epoch + EPOCH_MARGIN, (member,), (place,))
