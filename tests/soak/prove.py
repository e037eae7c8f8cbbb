"""Violates each guarantee that the soak test of nodes checks, and tabulates whether the check fails."""

import ast
import concurrent.futures
import pathlib
import re
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
BEGIN, END = "<!-- scripts/soak --prove: begin -->", "<!-- scripts/soak --prove: end -->"
AT_ONCE = 3
BROKEN = {  # switch: check that must fail, what a stand-in does
    "twice": ("twice", "workers report each run twice"),
    "refused": ("refused", "workers run a request at its third attempt and refuse it"),
    "mixed": ("mixed", "workers leave out the last byte of a body"),
    "order": ("mixed", "pipelining callers expect the responses in reverse order"),
    "unasked": ("unasked", "workers run a request with an id that nobody sent"),
    "changed": ("changed", "workers get a byte more than was sent"),
    "drain": ("drain", "workers leave without telling the store"),
    "configuration": ("config", "configurations are acknowledged and not written"),
    "back": ("back", "a later configuration has the routes of an earlier one"),
    "budget": ("budget", "the nodes' settings allow a retry for each call; workers lose answers"),
    "hedges": ("hedges", "the nodes' settings allow hedges for half of the calls; some work takes 0.3 s"),
    "cold": ("cold", "the configuration has no limit for cold workers"),
    "lost": ("lost", "nodes are killed where a planned stop is due; some work takes 0.5 s"),
    "grace": ("grace", "nodes are stopped with SIGSTOP after the signal to end"),
    "late": ("late", "callers and rules give ten times the time; some work takes 2 s"),
    "held": ("held", "callers and rules give ten times the time; some work takes 7 s"),
    "recover": ("recover", "workers still fail half of the requests after the faults"),
    "exit": ("exit", "a killed node is not started again"),
    "key seen": ("key seen", "workers see a key in each request"),
    "tenant": ("tenant", "the configuration swaps the names of two accounts"),
    "accounts": ("unknown key", "the configuration has no accounts"),
    "removal": ("revoked", "removed keys stay in the configuration"),
    "addition": ("denied", "new keys are missing from the configuration"),
    "quota": ("quota", "the configuration has no rate of the small account"),
    "era": ("current", "the store returns from a copy and names no new era"),
    "home": ("home", "the configuration has no home regions"),
    "evacuation": ("evacuated", "the key of the evacuation is not written"),
}


def run(switch, seed):
    """Returns the failures of one run by rule, or None if it ended without a result."""
    done = subprocess.run([str(ROOT / "tests/soak/run"), "--break", switch, "--seed", str(seed), "--seconds", "10"],
                          capture_output=True, text=True, check=False)
    rules = re.search(r"^\{.*\}$", done.stdout, re.MULTILINE)
    if done.returncode == 0 or not rules:
        print(f"{switch}:", done.stdout[-2000:], done.stderr[-2000:], sep="\n")
    return ast.literal_eval(rules[0]) if rules else {} if " held" in done.stdout else None


def row(switch, seed, rules):
    check, does = BROKEN[switch]
    if rules is None:
        caught, others = "no result", ""
    else:
        caught = f"yes, {rules[check]} times" if check in rules else "**no**"
        others = ", ".join(f"{rule} {n}" for rule, n in rules.items() if rule != check)
    return f"| {check} | `--break '{switch}' --seed {seed}` | {does} | {caught} | {others} |"


def prove(seed):
    """Runs all switches, writes the table into docs/PROOF.md, and returns the number of checks not shown to fail."""
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        results = list(pool.map(lambda it: run(it, seed), BROKEN))
    rows = ["| check | switch of `tests/soak/run` | what a stand-in does | caught | other checks that failed |",
            "| --- | --- | --- | --- | --- |"]
    rows += [row(switch, seed, rules) for switch, rules in zip(BROKEN, results)]
    page = ROOT / "docs/PROOF.md"
    before, rest = page.read_text().split(BEGIN)
    page.write_text("\n".join([before + BEGIN, "", *rows, "", END + rest.split(END)[1]]))
    print(*rows, sep="\n")
    return sum(1 for (check, _), rules in zip(BROKEN.values(), results) if check not in (rules or {}))
