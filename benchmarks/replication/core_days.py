"""Days with troubles of the core, alone and in pairs, each with a final fault: what of it breaks a rule.

Usage: core_days.py make FOLDER [--days=N] [--seed=N]
       core_days.py play BENCH SITE FOLDER [--jobs=N] [--first=K] [--days=N] [--out=FILE]

`make` writes days as the operators' bench takes them: one kind of trouble after the other alone, then pairs drawn by
the seed. `play` plays them on a deployment (BENCH: the bench's program, SITE: the site's file), and keeps a row for
each.

Options:
  --days=N    how many [default: 50]
  --seed=N    of the draw of pairs [default: 1]
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
CLOSINGS = (
    'kind = "power_off_all", down_s = 1.2',
    'kind = "power_off_all", down_s = 1.2, how = "taken"',
    'kind = "wipe_after_ack", down_s = 1.1',
    'kind = "wipe_after_ack", down_s = 1.1, how = "oldest"',
    'kind = "kill_all", down_s = 1.0',
    'kind = "power_off_all", down_s = 1.2, how = "timed"',
)
FIRST_S, SECOND_S = 10.0, 18.0  # from the start of traffic
CHANGES_S = tuple(float(second) for second in range(6, 30, 2))  # changes of the configuration, for something to lose
LINE = re.compile(r"(?P<score>-?\d\.\d\d)\s+(?P<worth>-?\d\.\d{3})\s+(?P<served>\d\.\d{3})\s+\d\.\d{3}\s+\d\.\d{3}\s")
BROKEN = re.compile(r"rules broken: (.*)")


def day(number: int, random: Random) -> str:
    """One day as text: each kind of trouble alone first, then pairs."""
    alone = number < len(FAULTS)
    first = FAULTS[number] if alone else random.choice(FAULTS)
    faults = [f"  {{ at = {FIRST_S}, {first} }},"]
    if not alone:
        at = random.choice((FIRST_S + 1.0, FIRST_S + 3.0, SECOND_S))
        faults.append(f"  {{ at = {at}, {random.choice(FAULTS)} }},")
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
    return "\n".join([*head, "plan = [", *plan, "]", "faults = [", *faults, "]", ""])


def make(folder: Path, days: int, seed: int) -> None:
    """Write the days."""
    folder.mkdir(parents=True, exist_ok=True)
    random = Random(seed)
    for number in range(days):
        (folder / f"core-{number:03}.toml").write_text(day(number, random))


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
        make(folder, days, int(options["--seed"]))
        return
    first = int(options["--first"])
    files = sorted(folder.glob("core-*.toml"))[first : first + days]
    with ThreadPoolExecutor(int(options["--jobs"])) as pool:
        rows = list(pool.map(lambda file: play(options["BENCH"], options["SITE"], file), files))
    keep(Path(options["--out"]), rows)
    print(f"{len(rows)} days, {sum(bool(row['broken']) for row in rows)} with a rule broken or not judged")


if __name__ == "__main__":
    main()
