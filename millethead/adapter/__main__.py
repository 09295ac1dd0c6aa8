"""Main loop of the simulator adapter: reads batches from standard input, writes one reply per batch to standard output.

A process serves several nodes (instances), each with its own Balancer.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from millethead.adapter import wire
from millethead.decide.balance import Balancer
from millethead.decide.settings import SettingsError, settings_from


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to every batch until the end of input; raises wire.WireError on a malformed frame."""
    nodes: dict[int, Balancer] = {}
    decoder = wire.Decoder()
    while (frame := wire.read_frame(source)) is not None:
        now, index, count, body = frame
        out: list[bytes] = []
        for code, at, end in wire.split_records(body, count):
            if code == 26:  # directory
                decoder.store_directory(body, at, end)
            elif code == 16:  # open_instance
                instance, seed, text = decoder.decode_open_instance(body, at, end)
                try:
                    info, settings = settings_from(text)
                    decoder.open_instance(instance, info)
                    nodes[instance] = Balancer(settings, seed)
                except SettingsError as error:
                    nodes.pop(instance, None)
                    out.append(wire.encode_bail_out(instance, str(error)))
            elif code == 25:  # shutdown
                if at + 4 > end:
                    raise wire.WireError("a shutdown record is too short")
                nodes.pop(int.from_bytes(body[at : at + 4], "little"), None)
            else:
                decoded = decoder.decode_event(code, body, at, end)
                if decoded is not None and (node := nodes.get(decoded[0])) is not None:
                    wire.encode_actions(decoded[0], node.handle(now, decoded[1]), out)
        reply = b"".join(out)
        sink.write(wire.REPLY.pack(len(reply) + wire.REPLY.size, index))
        sink.write(reply)
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"millethead: malformed frame: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("millethead: the reader of the replies is gone", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
