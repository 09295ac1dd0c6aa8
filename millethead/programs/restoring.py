"""Restores a core from a snapshot file after the loss of all disks.

The snapshot is written to the empty disk of one machine, which becomes the only voter of a new view. The others start
with empty disks and join it like replaced machines. The epoch of the view is the fencing token of all commands to
workers, and workers reject a token below the highest they have seen. The new epoch is therefore higher than any epoch
that the lost core can have reached.
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
from millethead.storage.files import OS_FILE_SYSTEM
from millethead.storage.identity import DISK_ID_BITS, load_identity
from millethead.storage.log import LogFile
from millethead.storage.records import Snapshot
from millethead.storage.register_file import RegisterFile

EPOCH_MARGIN = 1 << 20  # upper bound of the view changes of the lost core after the snapshot


@dataclass(frozen=True, slots=True)
class RestoredDisk:
    """The result of a restore: what was written to the disk."""

    member: Member
    view: View
    snapshot: Snapshot


def restore_snapshot(report: LogReport, folder: Path, address: str) -> RestoredDisk:
    """Write the state of a snapshot file to the disk at `folder`, which must be empty or missing.

    `address` (host:port) is the machine's address for internal calls. The result is durable on return. After an
    interrupted restore, the folder has to be emptied before another attempt. Raises OSError.
    """
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
    register = RegisterFile(OS_FILE_SYSTEM, folder / ACCEPTOR_NAME)
    register.load()  # creates the file
    ballot = (view.epoch, member.name)
    register.save(AcceptorState(ballot, ballot, encode(view)))
    register.save_copy()
    return RestoredDisk(member, view, snapshot)


def _first_view(member: Member, last_epoch: int) -> View:
    """Return a view with only `member`, in the chain since the epoch of the snapshot because its log is complete."""
    chain_member = ChainMember(member, secrets.randbits(63), last_epoch)
    return View(last_epoch + EPOCH_MARGIN, (member,), (chain_member,))
