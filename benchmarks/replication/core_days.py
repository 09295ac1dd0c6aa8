"""Days with troubles of the core, alone and in pairs, each with a final fault: what of it breaks a rule.

Usage: core_days.py make FOLDER [--days=N] [--seed=N] [--worst]
       core_days.py play BENCH SITE FOLDER [--jobs=N] [--first=K] [--days=N] [--out=FILE]

`make` writes days as the operators' bench takes them: one kind of trouble after the other alone, then pairs drawn by
the seed; with `--worst` the combinations of `WORST`, which are long cuts with racing and repeated orders, replacements
followed by lost disks, frozen heads, and connection resets beside workers that answer nothing. `play` plays them on a
deployment (BENCH: the bench's program, SITE: the site's file), and keeps a row for each.

Options:
  --days=N    how many [default: 50]
  --seed=N    of the draw of pairs, or of times [default: 1]
  --worst     the combinations of `WORST` in the place of pairs
  --jobs=N    days at once [default: 4]
  --first=K   number of the first day that is played [default: 0]
  --out=FILE  where the table goes [default: benchmarks/replication/results/core_days.csv]
"""

from __future__ import annotations

import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

from docopt import docopt

from millethead.lab.table import keep

FAULTS = (
    'kind = "after_ack_kill", for_s = 3.0, how = "kill"',
    'kind = "after_ack_kill", for_s = 3.0, how = "timed"',
    'kind = "after_ack_wipe", for_s = 3.0',
    'kind = "after_ack_wipe", for_s = 3.0, how = "oldest"',
    'kind = "core_cut", count = 1, for_s = 4.0, how = "leader"',
    'kind = "core_cut", count = 1, for_s = 4.0, how = "behind"',
    'kind = "core_cut", count = 1, for_s = 4.0, how = "all"',
    'kind = "core_cut", count = 1, for_s = 4.0, how = "one_way"',
    'kind = "core_cut", count = 1, for_s = 4.0, how = "both"',
    'kind = "core_cut", count = 1, for_s = 4.0, how = "relieve"',
    'kind = "core_cut", count = 1, for_s = 4.0, how = "seeds"',
    'kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 5.0',
    'kind = "disk_slow", count = 1, x = 30.0, for_s = 5.0',
    'kind = "disk_full", on = "core", count = 1, for_s = 5.0',
    'kind = "disk_stall", on = "core", count = 1, for_s = 4.0',
    'kind = "replace_core", x = 1.0',
    'kind = "clock_step", share = 0.5, x = 3000.0, for_s = 5.0, how = "back"',
    'kind = "clock_step", share = 0.5, x = 3000.0, for_s = 5.0, how = "ahead"',
    'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader"',
    'kind = "node_slow", on = "core", share = 0.34, x = 6.0, for_s = 5.0',
    'kind = "seed_turnover"',
)
_LOST_ACKS = 'kind = "ack_lost", x = 0.7, for_s = 20.0'
_LATER_WIPE = 'kind = "after_ack_wipe", for_s = 2.0, how = "oldest"'
_MUTE = 'kind = "srv_grey", share = 0.3, x = 1.0, for_s = 8.0, how = "mute"'
_RESETS = 'kind = "reset_conns", share = 0.5, x = 0.7'


def _cut(how: str, for_s: float = 20.0) -> str:
    return f'kind = "core_cut", count = 1, for_s = {for_s}, how = "{how}"'


# Each is a sequence of (seconds from the start of traffic, trouble).
WORST = (
    ((8.0, _cut("leader meet race hard")), (9.0, _LOST_ACKS)),
    ((8.0, _cut("meet race hard")), (9.0, _LOST_ACKS)),
    ((8.0, _cut("one_way meet race")), (9.0, _LOST_ACKS)),
    ((8.0, _cut("all meet race")), (9.0, _LOST_ACKS)),
    ((8.0, _cut("near leader meet race")), (9.0, _LOST_ACKS)),
    ((8.0, _cut("split meet race", 12.0)), (9.0, _LOST_ACKS)),
    ((8.0, _cut("lure meet")), (10.0, _LOST_ACKS)),
    ((8.0, _cut("seeds meet")), (16.0, 'kind = "seed_turnover"')),
    ((8.0, _cut("relieve meet", 12.0)), (9.0, _LOST_ACKS)),
    ((8.0, _cut("behind", 8.0)), (24.0, _cut("relieve", 4.0))),
    ((8.0, _cut("both meet", 10.0)), (9.0, _LOST_ACKS)),
    ((8.0, 'kind = "node_cut", share = 0.3, for_s = 20.0, how = "all meet race"'), (9.0, _LOST_ACKS)),
    ((8.0, 'kind = "replace_core", x = 1.0'), (14.5, _LATER_WIPE)),
    ((8.0, 'kind = "replace_core", x = 1.0, how = "planned"'), (14.0, _LATER_WIPE)),
    ((8.0, 'kind = "replace_core", x = 1.0, how = "oldest"'), (16.0, 'kind = "replace_core", x = 1.0')),
    ((8.0, 'kind = "replace_core", x = 1.0, how = "planned"'), (14.0, 'kind = "herd_kill", on = "core", how = "off"')),
    ((8.0, _LATER_WIPE), (15.0, _LATER_WIPE), (22.0, 'kind = "after_ack_kill", for_s = 2.0, how = "timed"')),
    ((8.0, 'kind = "node_freeze", on = "core", count = 1, for_s = 20.0, how = "leader meet race"'), (9.0, _LOST_ACKS)),
    ((8.0, 'kind = "node_freeze", on = "core", count = 1, for_s = 6.0, how = "leader meet"'), (15.5, _LATER_WIPE)),
    ((8.0, 'kind = "node_slow", on = "core", count = 1, x = 8.0, for_s = 15.0'), (9.0, _LOST_ACKS)),
    ((8.0, _MUTE), (8.0, _RESETS), (10.0, _RESETS), (12.0, _RESETS)),
    ((8.0, 'kind = "applied_late", x = 0.5, for_s = 10.0, how = "all"'), (9.0, _RESETS), (12.0, _cut("leader", 6.0))),
    ((8.0, 'kind = "disk_stall", on = "core", count = 1, for_s = 8.0'), (20.0, _LATER_WIPE)),
    ((8.0, 'kind = "herd_kill", on = "core", share = 1.0, how = "taken all", for_s = 3.0'), (18.0, _LATER_WIPE)),
    ((8.0, 'kind = "roll_term", on = "core", share = 1.0, x = 1.0, gap_s = 5.0'), (12.0, _LOST_ACKS)),
)
CLOSINGS = (
    'kind = "power_off_all", down_s = 1.2',
    'kind = "power_off_all", down_s = 1.2, how = "taken"',
    'kind = "wipe_after_ack", down_s = 1.1',
    'kind = "wipe_after_ack", down_s = 1.1, how = "oldest"',
    'kind = "kill_all", down_s = 1.0',
    'kind = "power_off_all", down_s = 1.2, how = "timed"',
    'kind = "wipe_after_ack", down_s = 1.1, how = "timed"',
)
Faults = tuple[tuple[float, str], ...]  # each with its seconds from the start of traffic
FIRST_S, SECOND_S = 10.0, 18.0  # from the start of traffic
CHANGES_S = tuple(float(second) for second in range(6, 30, 2))  # changes of the configuration, for something to lose
LINE = re.compile(r"(?P<score>-?\d\.\d\d)\s+(?P<worth>-?\d\.\d{3})\s+(?P<served>\d\.\d{3})\s+\d\.\d{3}\s+\d\.\d{3}\s")
BROKEN = re.compile(r"rules broken: (.*)")


def drawn_faults(number: int, random: Random) -> Faults:
    """Each kind of trouble alone first, then pairs."""
    if number < len(FAULTS):
        return ((FIRST_S, FAULTS[number]),)
    second_at = random.choice((FIRST_S + 1.0, FIRST_S + 3.0, SECOND_S))
    return ((FIRST_S, random.choice(FAULTS)), (second_at, random.choice(FAULTS)))


def worst_faults(number: int, random: Random) -> Faults:
    """The combinations of `WORST` as they stand, then again with their times moved."""
    faults = WORST[number % len(WORST)]
    if number < len(WORST):
        return faults
    return tuple((round(at + random.uniform(-1.5, 1.5), 2), fault) for at, fault in faults)


def day(number: int, faults: Faults) -> str:
    """One day as text."""
    lines = [f"  {{ at = {at}, {fault} }}," for at, fault in faults]
    plan = [f'  {{ at = {at}, kind = "config_change", how = "idle" }},' for at in CHANGES_S]
    plan.append('  { at = 15.0, kind = "config_race", count = 2, gap_s = 1.0 },')
    head = (
        "[[day]]",
        f'name = "core-{number}"',
        'slot = "trouble"',
        f"seed = {5_000_000 + number}",
        f"closing = {{ {CLOSINGS[number % len(CLOSINGS)]} }}",
        "one = 1.0",
        "zero = 0.5",
        "goal = { floor = 0.3 }",
        "labels = []",
        "wall = 3.0",
        "light = true",
    )
    return "\n".join([*head, "plan = [", *plan, "]", "faults = [", *lines, "]", ""])


def make(folder: Path, days: int, seed: int, worst: bool = False) -> None:
    """Write the days."""
    folder.mkdir(parents=True, exist_ok=True)
    random = Random(seed)
    draw = worst_faults if worst else drawn_faults
    for number in range(days):
        (folder / f"core-{number:03}.toml").write_text(day(number, draw(number, random)))


def play(bench: str, site: str, file: Path) -> dict[str, object]:
    """Play one day; a row of the table. `broken`: the rules, or the last line where the day was not judged."""
    why = f"a day of our own with troubles of the core: {file.stem}"
    command = [bench, "run", site, str(file), "--jobs", "1", "--why", why]
    said = subprocess.run(command, capture_output=True, text=True, check=False)
    text = said.stdout + said.stderr
    found, broken = LINE.search(text), BROKEN.search(text)
    judged = found.groupdict() if found else {"score": "", "worth": "", "served": ""}
    fault = broken[1] if broken else "" if found else text.strip().splitlines()[-1][:200]
    return {"site": Path(site).stem, "day": file.stem, **judged, "broken": fault}


def main() -> None:
    """Make the days, or play them."""
    options = docopt(__doc__)
    folder, days = Path(options["FOLDER"]), int(options["--days"])
    if options["make"]:
        make(folder, days, int(options["--seed"]), bool(options["--worst"]))
        return
    first = int(options["--first"])
    files = sorted(folder.glob("core-*.toml"))[first : first + days]
    with ThreadPoolExecutor(int(options["--jobs"])) as pool:
        rows = list(pool.map(lambda file: play(options["BENCH"], options["SITE"], file), files))
    keep(Path(options["--out"]), rows)
    print(f"{len(rows)} days, {sum(bool(row['broken']) for row in rows)} with a rule broken or not judged")


if __name__ == "__main__":
    main()
