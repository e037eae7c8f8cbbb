"""A drill: the store goes away, returns from a copy some seconds old and assigns revisions again, in a new era."""

import asyncio
import time

import store

BEAT_S = 0.1  # between two rounds of the workers' heartbeats, some of which are lost


async def beat(soak, seconds):
    """The workers write their entries again, as they do all the time on a real platform."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for it in soak.working():
            if it.state == "ready":
                await soak.store.put(f"servers/{it.name}", it.entry())
        await asyncio.sleep(BEAT_S)


async def write_again(soak, lost, new_version_at):
    """Writes what was lost, in its order, unless its key has changed since. A new version comes among it."""
    for n, (key, value) in enumerate(lost):
        if n == new_version_at:
            await soak.configure()
        if key not in soak.store.written:
            await soak.store.put(key, value, again=True)


async def play(soak, lasts):
    if soak.store.copy is not None:
        return  # another drill is under way
    soak.store.take_copy()
    await beat(soak, lasts / 2)
    away = soak.rng.uniform(0.05, 1.0)
    soak.store.go_away()
    await asyncio.sleep(away)
    lost = await soak.store.come_back()
    soak.log_event(f"the store was away for {away:.1f} s and is back in era {soak.store.era}, {len(lost)} changes lost")
    await asyncio.sleep(soak.rng.uniform(0, 0.3))
    await write_again(soak, lost, soak.rng.randrange(len(lost) + 1))
    soak.store.disturbed_at = time.monotonic()
    soak.store.copy = None
