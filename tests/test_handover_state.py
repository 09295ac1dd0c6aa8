"""The keys of the state that one process hands over to the next, which may run another version."""

import json

from harness import Node, workers

from millethead.decide import handover_state
from millethead.decide import interface as api
from millethead.decide.balance import Balancer

SAFE = api.JobClass(deadline=5000, aim=2000, stretch=2, effect=api.Effect.SAFE)


def node_with_waiting_jobs() -> Node:
    node = Node(api.Settings(classes=(SAFE,), tenants=(api.Tenant(5.0), api.Tenant(1.0)), reports_in_answers=True))
    node.update_workers(*workers(1))
    for number in (1, 2):
        node.submit(number, tenant=number - 1)
    return node


def test_the_learned_state_keeps_its_keys():
    balancer = node_with_waiting_jobs().balancer
    balancer.mean_work, balancer.mean_slots, balancer.report_period = 1.0, 2.0, 3.0
    balancer.report_trust, balancer.weight_tag_shift, balancer.mean_times = 0.25, 5.0, [6.0]
    balancer.kind_pace, balancer.kind_capacity, balancer.zone_full = {0: 7.0}, {1: 8.0}, {2: 9.0}
    balancer.kind_slots, balancer.class_lost_at = {3: 10.0}, {4: 11.0}
    flow = balancer.flows[0]
    flow.reservation_tag, flow.weight_tag, flow.reservation_offset = 12.0, 13.0, 14.0
    state = handover_state.learned_state(balancer)
    assert state.pop("flows")[0] == [12.0, 13.0, 14.0]
    assert state == {
        "work": 1.0,
        "slots": 2.0,
        "period": 3.0,
        "trust": 0.25,
        "shift": 5.0,
        "took": [6.0],
        "pace": [(0, 7.0)],
        "held": [(1, 8.0)],
        "busy": [(2, 9.0)],
        "size": [(3, 10.0)],
        "alarm": [(4, 11.0)],
    }
    restored = Balancer(balancer.settings, 1)
    handover_state.restore_learned_state(restored, json.loads(json.dumps(handover_state.learned_state(balancer))))
    assert handover_state.learned_state(restored) == handover_state.learned_state(balancer)


def test_the_state_of_a_worker_keeps_its_keys():
    balancer = node_with_waiting_jobs().balancer
    worker = balancer.workers[1]
    worker.free_slots, worker.queued, worker.free_memory, worker.report_time = 1.5, 2.5, 3.5, 4.5
    worker.received_at, worker.rounding, worker.slowdown, worker.failures = 5.5, 0.5, 7.5, 8
    worker.avoid_until, worker.cold_turn, worker.backoff_until, worker.rejected_at = 9.5, 10, 11.5, 12.5
    worker.rejections, worker.unusable_streak = 13, 14
    worker.class_succeeded, worker.class_avoided = {0: 15.5}, {0: 16.5}
    expected = {
        "id": 1,
        "started": 0.0,
        "good": [(0, 15.5)],
        "shun": [(0, 16.5)],
        "free": 1.5,
        "queued": 2.5,
        "memory": 3.5,
        "stamp": 4.5,
        "heard": 5.5,
        "luck": 0.5,
        "slow": 7.5,
        "bad": 8,
        "avoid": 9.5,
        "turn": 10,
        "shy": 11.5,
        "full": 12.5,
        "fulls": 13,
        "odd": 14,
    }
    (state,) = handover_state.worker_states(balancer)
    assert state == expected and list(state) == list(expected)
    restored = node_with_waiting_jobs().balancer
    handover_state.restore_worker(restored, json.loads(json.dumps(state)))
    assert handover_state.worker_states(restored) == [expected]


def test_the_state_of_a_job_keeps_its_keys():
    node = node_with_waiting_jobs()
    job = node.balancer.jobs[2]
    assert job.waiting
    job.memory, job.reservation_tag, job.weight_tag, job.deadline, job.latest_start = 1.0, 2.0, 3.0, 4.0, 5.0
    job.running_time, job.arrived_at, job.attempts, job.first_sent, job.group = 6.0, 7.0, 8, 9.0, 10
    job.confirmed, job.unconfirmed = {11}, {12}
    expected = {
        "slots": 1.0,
        "memory": 1.0,
        "local": 2.0,
        "glob": 3.0,
        "end": 4.0,
        "late": 5.0,
        "own": 6.0,
        "came": 7.0,
        "tries": 8.0,
        "ran": 9.0,
        "group": 10.0,
        "out": [],
        "taken": [11],
        "left": [12],
        "cls": 0,
        "key": 0,
        "flow": 1,
        "shape": 0,
    }
    assert handover_state.remove_job(node.balancer, 2) == expected
    restored = node_with_waiting_jobs().balancer
    handover_state.adopt_job(restored, 3, json.loads(json.dumps(expected)), 0.0)
    assert handover_state.remove_job(restored, 3) == expected
