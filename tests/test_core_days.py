"""Generated benchmark days with faults of the core: the benchmark can read each of them, and each kind of fault occurs
once on its own."""

from __future__ import annotations

import importlib.util
import tomllib
from pathlib import Path
from types import ModuleType

PATH = Path(__file__).parent.parent / "benchmarks" / "replication" / "core_days.py"


def load_core_days() -> ModuleType:
    spec = importlib.util.spec_from_file_location("core_days", PATH)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_days_contain_each_kind_alone_and_then_pairs(tmp_path: Path) -> None:
    module = load_core_days()
    count = len(module.FAULTS) + 10
    module.make(tmp_path, count, 1)
    days = [tomllib.loads(file.read_text())["day"][0] for file in sorted(tmp_path.iterdir())]
    assert len(days) == count == len({day["seed"] for day in days})
    alone = [day["faults"][0] for day in days if len(day["faults"]) == 1]
    assert alone == [{"at": module.FIRST_S, **tomllib.loads(f"x = {{{fault}}}")["x"]} for fault in module.FAULTS]
    assert all(len(day["faults"]) == 2 for day in days[len(module.FAULTS) :])
    assert {day["closing"]["kind"] for day in days} == {"power_off_all", "wipe_after_ack", "kill_all"}


def test_worst_days_contain_each_combination_and_repeat_them_at_other_times(tmp_path: Path) -> None:
    module = load_core_days()
    count = len(module.WORST) + 5
    module.make(tmp_path, count, 1, worst=True)
    days = [tomllib.loads(file.read_text())["day"][0] for file in sorted(tmp_path.iterdir())]
    assert len(days) == count == len({day["seed"] for day in days})
    for number, day in enumerate(days):
        faults = module.WORST[number % len(module.WORST)]
        kinds = [tomllib.loads(f"x = {{{fault}}}")["x"]["kind"] for _, fault in faults]
        assert [fault["kind"] for fault in day["faults"]] == kinds
    cuts = [fault for day in days for fault in day["faults"] if fault["kind"] == "core_cut"]
    assert any(cut["for_s"] == 20.0 and "race" in cut["how"] for cut in cuts)
    again = [fault["at"] for fault in days[len(module.WORST)]["faults"]]
    assert again != [at for at, _ in module.WORST[0]]


def test_result_rows_are_parsed() -> None:
    module = load_core_days()
    line = "core-0                  18/0   0.53  0.900  0.990   0.000  0.000  worst windows 0.88; BROKEN: LOST 3"
    found = module.LINE.search(line)
    assert found is not None and found.groupdict() == {"score": "0.53", "worth": "0.900", "served": "0.990"}
    broken = module.BROKEN.search("rules broken: LOST 3\n")
    assert broken is not None and broken[1] == "LOST 3"
