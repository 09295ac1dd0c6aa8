"""A short version of the simulated hour: 150 s of the real program with both protocols and all faults."""

import unittest

import jump
import structlog

from millethead.lab.hour import BOUNDS, Hour


class ShortHourTest(unittest.TestCase):
    # Runs on an event loop with simulated time: in real time a deadline would be only 0.5 s long, and a busy machine
    # delayed clients past it.
    def test_each_job_is_answered_once_in_time_and_no_booking_runs_twice(self):
        self.addCleanup(structlog.reset_defaults)
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
        hour, rows = jump.run(self.play)
        self.assertEqual(hour.wrong(), [])
        kinds = {row["kind"] for row in rows if row["served"]}
        self.assertGreaterEqual(kinds, {"flood", "report", "timed", "chain"})
        doomed = [job for job in hour.jobs.values() if job.kind == "doomed" and job.after]
        self.assertEqual({job.answers[0] for job in doomed}, {"failed"})
        for job in hour.jobs.values():
            if job.name in BOUNDS:  # exceeded by one second of the loop's time at most
                self.assertLess(hour.over(job), 1.0 + 15_000.0 / (1000 * BOUNDS[job.name]))

    async def play(self):
        hour = Hour(seconds=150.0, speed=15.0, seed=3)
        return hour, await hour.play()
