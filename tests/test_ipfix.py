"""Tests of the IPFIX export. The expected bytes follow RFC 7011 and IANA's list of information elements."""

import asyncio
import socket
import unittest

from millethead.exchange import Answer, Final, Order
from millethead.flows.ipfix import Exporter
from millethead.flows.setup import FlowSetup
from millethead.tables import LoopbackAddress

TEMPLATES = (
    "0002 006c "  # template set of 108 bytes
    "0100 000c "  # template 256 with 12 fields
    "0098 0008 0099 0008 "  # flowStartMilliseconds, flowEndMilliseconds
    "0008 0004 000c 0004 "  # sourceIPv4Address, destinationIPv4Address
    "0007 0002 000b 0002 0004 0001 "  # ports, protocolIdentifier
    "00e7 0008 00e8 0008 "  # initiatorOctets, responderOctets
    "0088 0001 01cb 0002 0060 ffff "  # flowEndReason, httpStatusCode, applicationName of any length
    "0101 000c 0098 0008 0099 0008 "
    "001b 0010 001c 0010 "  # sourceIPv6Address, destinationIPv6Address
    "0007 0002 000b 0002 0004 0001 00e7 0008 00e8 0008 0088 0001 01cb 0002 0060 ffff "
)
RECORD = (
    "0100 003b "  # data set of template 256, 59 bytes
    "00000000000003e8 00000000000004e2 "  # 1000 and 1250 ms
    "7f000001 7f000001 9c40 20fb 06 "  # 127.0.0.1:40000 to 127.0.0.1:8443 over TCP
    "0000000000000004 0000000000000006 03 00c8 "  # 4 bytes in, 6 out, normal end, status 200
    "06 726566756e64 "
)  # "refund"
ORDER = Order("a1", 0, 9000.0, body=b"book", origin="http", peer=("127.0.0.1", 40000))
SERVED = Answer(Final.SERVED, b"seat 7")


class IpfixTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.collector = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.collector.bind(("127.0.0.1", 0))
        self.collector.settimeout(20)
        self.time = 100.0

    def tearDown(self):
        self.collector.close()

    def start_exporter(self, **settings):
        setup = FlowSetup(collector=LoopbackAddress(self.collector.getsockname()), **settings)
        exporter = Exporter(setup, ("127.0.0.1", 8443), None, ["refund"], lambda: self.time)
        exporter.start()
        self.addCleanup(exporter.stop)
        return exporter

    def receive(self):
        return self.collector.recv(65536)

    async def test_encoding_templates_and_sequence_numbers(self):
        exporter = self.start_exporter(template_s=60.0)
        exporter.finished(ORDER, SERVED, 1000.0, 1250.0)
        exporter.flush()
        self.assertEqual(
            self.receive(), bytes.fromhex("000a 00b7 00000064 00000000 00000001" + TEMPLATES + RECORD)
        )  # 183 bytes, sequence 0
        self.time = 159.0
        for _ in range(2):
            exporter.finished(ORDER, SERVED, 1000.0, 1250.0)
        exporter.flush()  # no templates are due; two records in one set of 114 bytes
        record = RECORD.partition(" ")[2].partition(" ")[2]
        self.assertEqual(
            self.receive(), bytes.fromhex("000a 0082 0000009f 00000001 00000001 0100 0072" + record + record)
        )
        self.time = 160.0
        exporter.finished(ORDER, SERVED, 1000.0, 1250.0)
        exporter.flush()  # templates again; the sequence counts the three records so far
        self.assertEqual(self.receive(), bytes.fromhex("000a 00b7 000000a0 00000003 00000001" + TEMPLATES + RECORD))

    async def test_end_codes_and_ipv6_addresses(self):
        exporter = self.start_exporter()
        order = Order("a1", 0, 9000.0, origin="http", peer=("::1", 1))
        for answer in (Answer(Final.REFUSED), Answer(Final.FAILED), None):
            exporter.finished(order, answer, 0.0, 0.0)
        exporter.flush()
        records = self.receive()[16 + 108 :]
        # 79 bytes per record of template 257, of which two addresses of 16 bytes
        self.assertEqual(records[:4].hex(), "01010" + f"{4 + 3 * 79:03x}")
        self.assertEqual(records[4 + 16 : 4 + 48].hex(), "00" * 15 + "01" + "00" * 10 + "ffff7f000001")
        end_codes = [records[4 + 79 * n + 69 : 4 + 79 * n + 72].hex() for n in range(3)]
        self.assertEqual(end_codes, ["0501f7", "0401f6", "0401f3"])

    async def test_a_full_queue_drops_records_and_counts_them(self):
        exporter = self.start_exporter(queue=2)
        for _ in range(5):
            exporter.finished(ORDER, SERVED, 0.0, 0.0)
        self.assertEqual(exporter.dropped, 3)
        exporter.flush()
        self.receive()
        self.assertEqual(exporter.sequence, 2)  # dropped records have no sequence numbers

    async def test_a_long_queue_is_split_into_messages_of_limited_size(self):
        exporter = self.start_exporter()
        for _ in range(60):
            exporter.finished(ORDER, SERVED, 0.0, 0.0)
        await asyncio.sleep(0)
        exporter.flush()
        sizes, count = [], 0
        while count < 60:
            message = self.receive()
            self.assertEqual(int.from_bytes(message[8:12], "big"), count)
            sizes.append(len(message))
            count += message.count(b"refund")
        self.assertLessEqual(max(sizes), 1200)
