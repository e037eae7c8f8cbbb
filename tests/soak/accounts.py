"""Client accounts of the soak test: their keys over time, and the checks of keys and quotas."""

import collections
import time

KEY_S = 3.0  # bound after the store accepted a change: a removed key is refused, and an added one known
RATE_PER_S, BURST = 5, 10  # quota of the account "small"; its callers ask for several times as much
WINDOW_S, OVERRUN, SLACK = 5, 0.1, 20
HIDDEN = "x-api-key"


class Accounts:
    def __init__(self, record, rng, strict):
        self.record, self.rng = record, rng
        self.strict = strict  # the nodes revoke strictly: disturbed ones refuse removed keys in time, too
        self.keys = {}        # key: [account, time added, time removed]; times at which the store had accepted it
        self.withdrawn = set()  # keys that no further version may have; the first one without them may be on its way
        self.sent = {}        # request id: (key or "", account or None if the rule is exempt)
        self.arrivals = collections.defaultdict(dict)  # account: {request id: time of its first run}
        for account in ("north", "south", "small"):
            self.add(account, 0.0)
            self.add(account, 0.0)

    def add(self, account, now=float("inf")):
        key = f"k-{account}-{len(self.keys)}"
        self.keys[key] = [account, now, float("inf")]
        return key

    def current(self, account):
        return [key for key, (name, _, _) in self.keys.items() if name == account and key not in self.withdrawn]

    def tenants(self, removed=()):
        """The accounts as the configuration lists them; `removed` keys stay in it by mistake."""
        limits = {"small": {"ratePerS": RATE_PER_S, "burst": BURST}}
        return [{"name": it, "priority": 0,
                 "apiKeys": self.current(it) + [key for key in removed if self.keys[key][0] == it],
                 **limits.get(it, {})} for it in ("north", "south", "small")]

    def fields(self, request, exempt):
        """Draws the key of a request, with an account that the caller forges; returns its header fields."""
        draw = self.rng.random()
        if draw < 0.03:
            key = f"k-unknown-{request}"
        elif draw < 0.10:
            key = self.rng.choice([key for key, it in self.keys.items() if it[2] < float("inf")] or list(self.keys))
        else:
            key = self.rng.choice(self.current(self.rng.choice(("north", "south", "small"))))
        self.sent[request] = (key, None if exempt else self.keys.get(key, [None])[0])
        out = {"x-aPI-kEY": key, "X-Tenant-Id": "forged"}
        if exempt:  # its key is not looked at, but must not be passed on, however often it occurs
            out["X-Api-Key"] = key
        return out

    def record_run(self, request, worker, fields, now, calm):
        """Checks a run at a worker; `calm`: its node had no fault for long enough to know the latest configuration."""
        if request not in self.sent:
            return
        key, account = self.sent[request]
        if HIDDEN in fields:
            self.record.fail("key seen", f"{worker.name} saw the key of {request}")
        if fields.get("x-tenant-id") != account:
            self.record.fail("tenant", f"{request} of {account} ran as {fields.get('x-tenant-id')!r}")
        if account is None:
            if key and not self.is_exempt(request):
                self.record.fail("unknown key", f"{request} ran with a key that no configuration held")
            return
        self.arrivals[account].setdefault(request, now)
        removed = self.keys[key][2]
        if now > removed + KEY_S and (self.strict or calm):
            self.record.fail("revoked", f"{request} ran with {key}, {now - removed:.2f} s after its removal")

    def is_exempt(self, request):
        return self.record.sent[request][4].startswith("/open/")

    def record_denial(self, request):
        """Checks a 401: final for callers, and so wrong while every configuration in force has the key."""
        key, sent = self.sent[request][0], self.record.sent[request][0]
        account, added, removed = self.keys.get(key, (None, float("inf"), 0.0))
        self.record.stats["401 for removed keys"] += 0.0 < removed < sent
        if self.is_exempt(request) or added + KEY_S < sent and removed > time.monotonic():
            self.record.fail("denied", f"{request} got 401 for {key} of {account}")

    def is_refusal(self, request, status):
        """Whether a response is the refusal that its key or its account's quota calls for."""
        key, account = self.sent.get(request, ("", None))
        held = key in self.keys and self.keys[key][2] == float("inf")
        return status == 429 and account == "small" or status in (401, 503) and not held and key != ""

    def check_quota(self):
        allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
        times = sorted(self.arrivals["small"].values())
        first = most = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        self.record.stats["most of the small account in 5 s"] = most
        if most > allowed:
            self.record.fail("quota", f"{most} requests of the small account ran in {WINDOW_S} s, allowed {allowed}")
