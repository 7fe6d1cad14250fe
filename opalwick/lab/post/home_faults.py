"""The fault kinds of data residency; `kinds.py` describes each."""

from __future__ import annotations

import random
from dataclasses import replace

from opalwick.lab.faults import Steps
from opalwick.lab.post.day import Fault
from opalwick.lab.post.faults import Scene, fault
from opalwick.lab.post.home_world import HomeWorld, zone_abroad
from opalwick.lab.post.kinds import ALL

REPLACEMENT_DELAY = 0.5  # s until another worker replaces one whose address was taken over


def _world(scene: Scene) -> HomeWorld:
    assert isinstance(scene.world, HomeWorld)
    return scene.world


@fault
def rehomed(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """Moves the services in `of` (all if empty) to another country."""
    world = _world(scene)
    countries = list(dict.fromkeys(scene.day.regions))
    moved = dict(world.policies[-1])
    for svc, home in moved.items():
        if not fault.of or svc in fault.of:
            moved[svc] = next(c for c in countries if c != home)
    world.set_policy(moved)
    yield


@fault
def added(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """Gives the services marked `later` their homes."""
    world = _world(scene)
    world.set_policy(world.policies[-1] | {h.service: h.country for h in scene.day.homes if h.later})
    yield


@fault
def claims(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """Workers report a zone in another country."""
    hit = [w for w in scene.workers(fault, draw) if not w.service.static]
    for worker in hit:
        worker.says = zone_abroad(_world(scene), worker)
    yield
    for worker in hit:
        worker.says = ""


@fault
def usurped(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """A worker crashes, and its address is later reused by a worker in another country."""
    world = _world(scene)
    for worker in scene.workers(fault, draw):
        if not worker.service.static:
            far = zone_abroad(world, worker)
            worker.end(True)
            wait = max(float(scene.day.bounds.reuse), fault.size or ALL[fault.kind].size)
            scene.agenda.after(wait, world.add, worker.service, far, worker.place)
            scene.agenda.after(REPLACEMENT_DELAY, world.add, worker.service, worker.zone)
    yield


@fault
def resettled(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """SIGHUP with settings that put a machine's zone in another country; SIGHUP with the old ones after."""
    hit = scene.machines(fault, draw)
    fault_over = scene.record_fault(fault.kind, hit)
    for machine in hit:
        region = next(r for r in scene.day.regions if r != scene.day.region(machine.zone))
        settings = machine.settings()
        zones = settings.zones | {machine.zone: region}
        if machine.proc is not None:
            machine.proc.event(
                machine.proc.role.apply_settings, replace(settings, region=region, zones=zones)
            )
    yield
    for machine in hit:
        machine.hup()
    fault_over()


@fault
def retire(scene: Scene, fault: Fault, draw: random.Random) -> Steps:
    """Orders machines to be retired over 10 s."""
    world = _world(scene)
    for machine in scene.machines(fault, draw):
        world.order(
            b"POST",
            f"/retire/{machine.node}",
            b'{"over_s":10}',
            lambda status, node=machine.node: world.note("ordered", "retire", node, status),  # type: ignore[misc]
        )
    yield
