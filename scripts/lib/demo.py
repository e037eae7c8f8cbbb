"""The demo of scripts/run: six targets of two services in two data centres, two entries each with its keeper."""

import sys

from damaskbench import Bench
from system import TOKEN, System, TargetGroup

SECONDS = 5
CALLS = "GET /listings/today 8 | POST /reservations 2 body=200"
SUMMARY = """
  calls sent            {calls}
  answered well         {succeeded}
  latency               p50 {p50:.1f} ms, p99 {p99:.1f} ms
  outcomes              {outcomes}
  answered by           {targets}
  lost {lost}, doubled {doubled}, told not run but ran {not_run_but_ran}, wrong answer {wrong_answer}, cut {cut}
"""
LINES = """
The system is up. Try, in another shell:
  curl -i http://127.0.0.1:{entry}/listings/today
  curl -s -H 'Authorization: Bearer {token}' http://127.0.0.1:{entry_operate}/status
  build/bin/damaskctl ticket list --keeper=127.0.0.1:{keeper} --token-file={folder}/token
  build/bin/damaskctl ticket show 1 --keeper=127.0.0.1:{keeper} --token-file={folder}/token
  build/bin/damaskctl ticket export --keeper=127.0.0.1:{keeper} --token-file={folder}/token
  build/bin/damaskctl why --service=listings --entry=127.0.0.1:{entry_operate} --token-file={folder}/token
  curl -s http://127.0.0.1:{entry_operate}/metrics
Press Enter to stop all of it.
"""


def words(counts):
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


def main():
    groups = [TargetGroup("listings", count=4, data_centres=["zh1", "zh2"]),
              TargetGroup("reservations", count=2, data_centres=["zh1", "zh2"])]
    with Bench() as bench:
        system = System(bench, [("zh1", "ch"), ("zh2", "ch")], 1, groups)
        print("starting store, targets, keepers and entries, and submitting ticket 1", flush=True)
        system.start()
        print(f"sending {SECONDS} s of load", flush=True)
        result = system.load("demo", {"calls": CALLS, "rate": "400", "length": str(SECONDS), "workers": "64"})
        result["outcomes"], result["targets"] = words(result["outcomes"]), words(result["targets"])
        print(SUMMARY.format(**result), flush=True)
        if "--keep" in sys.argv:
            first = system.instances[0]
            print(LINES.format(entry=first.entry_port, entry_operate=first.entry_operate, token=TOKEN,
                               keeper=first.keeper_operate, folder=bench.folder), flush=True)
            sys.stdin.readline()
        codes = system.exit_codes()
        print(f"all stopped gracefully: {'yes' if not any(codes) else 'no, exit codes ' + str(codes)}", flush=True)
        faults = sum(result[it] for it in ("lost", "doubled", "not_run_but_ran", "wrong_answer", "cut"))
        return 1 if faults or any(codes) else 0


if __name__ == "__main__":
    sys.exit(main())
