"""An order to take a zone back is forwarded to a lease holder that stands still, and comes into force after a later order."""

import asyncio
from pathlib import Path

from standins.programs import BOUNDS
from standins.scene import BROKEN, HELD, NotRunError, Scene, main, stand_still

ZONE = "zone-b"
FREEZE = 1.6  # seconds that the lease holder stands still
ORDER_AT = 0.1  # seconds after it stopped, at which the zone is taken back
PAUSE = 0.3  # seconds between an acknowledgement and the operator's next order
WATCHED = 8.0  # seconds of traffic after the bound


async def play(scene: Scene) -> int:
    """The zone is emptied, taken back, and emptied again; what reaches its workers after the bound breaks the rule."""
    await asyncio.sleep(2.0)
    if not any(run.zone == ZONE for run in scene.runs):
        raise NotRunError("the zone serves nothing before the orders")
    holder = await scene.lease_holder()
    others = [control for control in scene.system.controls if control is not holder]

    async def order(method: str) -> float:
        status, at = await scene.operator.order(others, method, f"/-/evacuate/{ZONE}")
        if status != 200:
            raise NotRunError(f"{method} was not acknowledged")
        return at

    await order("POST")
    await asyncio.sleep(BOUNDS["contactS"] + 1.0)
    went_on = scene.record.now()
    standing = asyncio.ensure_future(stand_still(scene.record, holder, FREEZE)) if scene.trouble else None
    await asyncio.sleep(ORDER_AT)
    await order("DELETE")
    await asyncio.sleep(PAUSE)
    acknowledged_at = await order("POST")
    if standing is not None:
        went_on = await standing
    # EVAC binds machines in touch, `evacuateS` after the acknowledgement; an unsettled core adds `stretchS` at most.
    bound = max(acknowledged_at + BOUNDS["evacuateS"] + BOUNDS["stretchS"], went_on + BOUNDS["contactS"])
    await asyncio.sleep(max(0.0, bound + WATCHED - scene.record.now()))
    late = [run for run in scene.runs if run.zone == ZONE and run.at > bound]
    tell = scene.record.tell
    tell(f"acknowledged at {acknowledged_at:.3f}, bound {bound:.3f}: {len(late)} requests ran in {ZONE} after it")
    for run in late[:5]:
        tell(
            f"  {run.id} by way of {scene.clients.gateway_of[run.id]} ran at {run.worker} in {run.zone} at {run.at:.3f}"
        )
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, play)
