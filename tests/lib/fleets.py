"""Small fleets of real daemons and stand-ins for functional tests."""

import contextlib

from demo.fleet import Fleet, FleetSettings, make_fleet


@contextlib.asynccontextmanager
async def run_fleet(folder, *, name='maree', vms=1, engine_options=()):
    """Run a fleet; all of its processes are ended by their pid."""
    settings = FleetSettings(
        name,
        folder,
        vms_per_data_centre=vms,
        settle_s=0.2,
        engine_options=engine_options,
    )
    fleet: Fleet = make_fleet(settings)
    try:
        fleet.start_stand_ins()
        await fleet.wait_platform()
        await fleet.publish()
        fleet.start_vms()
        await fleet.list_vms()
        await fleet.wait_ready()
        yield fleet
    finally:
        fleet.stop_all()
