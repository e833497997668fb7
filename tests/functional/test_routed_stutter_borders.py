"""Upstreams that stutter, in forms of answers that nobody had tried."""

import asyncio

import pytest

from bilberryspoke._internal.models.routing_effects import ProbeUpstream
from bilberryspoke._internal.network.routing.linkprobes import LinkProber
from fakes.slowreader import read_slowly
from fakes.stuttercases import make_earlier, make_framed, register_pieces
from fakes.upstream import Run, UpstreamStandIn, make_event
from tests.lib.cutfleet import run_cut_fleet
from tests.lib.judgedcalls import (
    ScriptedCall,
    call_all,
    call_judged,
    list_foreign,
)
from tests.lib.routedfleet import run_routed_fleet, wait_until
from tests.soak.belonging import EVENTS

# With an id as long as those of the calls.
_EXAMPLE = Run('POST', '', {'x-attempt-id': 'c0000'}, b'')
_PATHS = ('/safe/', '/once/')
# Method and status of answers that have no body.
_BODYLESS = (('HEAD', 200), ('POST', 204), ('GET', 304))
_LONG_BODY = b'b' * 99_000


def make_interim(run, status):
    """Return an answer that is not final."""
    return (
        f'HTTP/1.1 {status} Interim\r\nX-Attempt-Id: {run.req_id}\r\n'
        'Link: </a>; rel=preload\r\n\r\n'
    ).encode()


def make_failure(run):
    """Return the failure of an earlier call."""
    return make_framed(make_earlier(), 'length', status=500)


def make_stream(run):
    """Return a stream by chunks, or the rest of one."""
    first = int(run.headers.get('last-event-id', 0)) + 1
    events = [make_event(run, each) for each in range(first, EVENTS + 1)]
    return make_framed(run, 'chunks', body=b''.join(events))


def make_refusal(run):
    """Return a refusal with a body."""
    not_run = {'X-Not-Executed': '1'}
    return make_framed(
        run, 'length', status=503, body=b'r' * 64, headers=not_run, sealed=False
    )


def framed(framing, **options):
    """Return a function that makes the answer to a run."""
    return lambda run: make_framed(run, framing, **options)


def find_body(raw):
    """Return where the body of an answer begins."""
    return raw.index(b'\r\n\r\n') + 4


def register_cuts(name, first, second, *, start=1, step=1, closes=True):
    """Register answers that are cut, each followed by a second one.

    ``first`` and ``second`` make them. Cuts are from byte ``start`` on.
    """

    def register(length):
        return register_pieces(
            f'{name}, cut after {length}',
            lambda run: (first(run)[:length], second(run)),
            closes=closes,
        )

    lengths = range(start, len(first(_EXAMPLE)), step)
    return [register(each) for each in lengths]


async def call_at_one(calls):
    """Send calls to one upstream, then a sound one; return their answers."""
    async with run_routed_fleet(scripted_engines=0, app_upstreams=1) as fleet:
        upstream = fleet.upstreams['i-app0']
        answers = await call_all(fleet, [upstream], calls)
        sound = register_pieces('sound', lambda run: [framed('length')(run)])
        upstream.scripts['later'] = sound
        later = await call_judged(fleet, '/safe/', 'later')
        assert later.is_own
        return answers


def test_interim_answers_that_are_copied_or_cut_give_no_part_to_a_caller():
    def register(status, count):
        return register_pieces(
            f'{count} answers {status} first',
            lambda run: [
                *[make_interim(run, status)] * count,
                framed('length')(run),
            ],
        )

    copied = [
        ScriptedCall(register(status, count), path)
        for status in (100, 103)
        for count in (1, 3)
        for path in _PATHS
    ]
    cut = [
        ScriptedCall(script)
        for status in (100, 103)
        for script in register_cuts(
            f'interim {status}',
            lambda run, status=status: make_interim(run, status),
            framed('length'),
        )
    ]
    answers = asyncio.run(call_at_one([*copied, *cut]))
    assert not list_foreign(answers)
    assert all(answers[call].is_own for call in copied)


def test_body_that_breaks_off_and_begins_anew_reaches_no_caller_joined():
    # Between all bytes, thus within chunks, their extensions and trailers.
    calls = []
    for framing in ('length', 'chunks', 'trailers'):
        make = framed(framing)
        start = find_body(make(_EXAMPLE))
        again = register_cuts(f'{framing} anew', make, make, start=start)
        interim = register_cuts(
            f'{framing}, then 103 and anew',
            make,
            lambda run, make=make: make_interim(run, 103) + make(run),
            start=start,
        )
        calls += [ScriptedCall(each, path) for each in again for path in _PATHS]
        calls += [ScriptedCall(each) for each in interim]
    answers = asyncio.run(call_at_one(calls))
    assert not list_foreign(answers)
    # A body whose chunks are malformed kept its caller until the deadline.
    assert not [call for call, each in answers.items() if each.status == 504]


def test_answer_without_a_body_that_breaks_off_gives_no_part_to_a_caller():
    calls = [
        ScriptedCall(script, method=method)
        for method, status in _BODYLESS
        for name, second in (
            ('anew', framed('none', status=status)),
            ('then 500', make_failure),
        )
        for script in register_cuts(
            f'{method} {status}, {name}',
            framed('none', status=status),
            second,
            step=5,
        )
    ]
    assert not list_foreign(asyncio.run(call_at_one(calls)))


def test_answer_without_a_body_needs_no_length_and_its_copies_do_no_harm():
    # Its caller got 502, as the end of its connection was waited for.
    calls = []
    for method, status in _BODYLESS:
        make = framed('none', status=status)
        for name, make_pieces in (
            ('alone', lambda run, make=make: [make(run)]),
            ('copy at once', lambda run, make=make: [make(run) * 2]),
            ('copy later', lambda run, make=make: [make(run)] * 2),
        ):
            script = register_pieces(f'{method} {status} {name}', make_pieces)
            calls += [ScriptedCall(script, path, method) for path in _PATHS]
    answers = asyncio.run(call_at_one(calls))
    assert not list_foreign(answers)
    statuses = [status for _, status in _BODYLESS for _ in range(6)]
    assert [each.status for each in answers.values()] == statuses


def test_copy_with_trailers_behind_an_answer_reaches_no_other_caller():
    def register(framing, length):
        make = framed(framing)
        return register_pieces(
            f'{framing}, copy of {length}',
            lambda run: [make(run) + make(run)[:length]],
        )

    scripts = []
    for framing in ('chunks', 'trailers'):
        size = len(framed(framing)(_EXAMPLE))
        lengths = [*range(1, size, 3), size]
        scripts += [register(framing, length) for length in lengths]
    calls = [ScriptedCall(each, '/once/') for each in scripts]
    assert not list_foreign(asyncio.run(call_at_one(calls)))


def test_copy_within_the_body_of_a_refusal_reaches_no_other_caller():
    # The body of a refusal is read in the background, for its connection.
    start = find_body(make_refusal(_EXAMPLE))
    scripts = [
        *register_cuts(
            'refusal', make_refusal, make_failure, start=start, step=8,
            closes=False,
        ),
        *register_cuts(
            'refusal, cut copy', make_refusal,
            lambda run: make_failure(run)[:70], start=start, step=8,
            closes=False,
        ),
    ]  # fmt: skip

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.default = register_pieces(
                'sound', lambda run: [framed('length')(run)]
            )
            answers = {}
            for number, script in enumerate(scripts):
                upstream.scripts[f'r{number}'] = script
                await call_judged(fleet, '/once/', f'r{number}')
                call = ScriptedCall(script, '/once/')
                answers[call] = await call_judged(fleet, '/once/', f's{number}')
            return answers

    answers = asyncio.run(run())
    assert not list_foreign(answers)
    assert {each.status for each in answers.values()} <= {200, 502}


def test_copy_while_a_long_body_is_sent_reaches_no_other_caller():
    copy = make_failure(make_earlier())
    copies = [copy, copy, copy[:40], copy[:40]]

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=0
        ) as fleet:
            async with read_slowly(
                lambda run: copies.pop(0), framed('length')
            ) as address:
                upstream = UpstreamStandIn('i-slow', address=address)
                fleet.upstreams['i-slow'] = upstream
                fleet.write_upstream_entry('i-slow', 'app')
                node = fleet.nodes[0]
                await wait_until(lambda: node.list_events('upstream_listed'))
                first = await call_judged(fleet, '/once/', 'earlier', body=b'')
                return first, [
                    await call_judged(fleet, path, req_id, body=_LONG_BODY)
                    for req_id, path in (
                        ('whole', '/once/'),
                        ('whole-too', '/safe/'),
                        ('cut', '/safe/'),
                        ('cut-too', '/once/'),
                    )
                ]

    first, others = asyncio.run(run())
    assert first.is_own
    assert others[0].is_own
    assert others[1].is_own
    assert not any(each.foreign for each in others)


def test_upstream_whose_answer_to_a_probe_comes_twice_is_reached():
    twice = register_pieces(
        'probe twice', lambda run: [framed('length')(run)] * 2
    )

    async def run():
        upstream = UpstreamStandIn('i-0', twice, answers_probes=False)
        await upstream.start()
        ends = []
        prober = LinkProber(ends.append, lambda address: None)
        prober.start(ProbeUpstream('i-0', 1, upstream.address))
        await wait_until(lambda: ends)
        await prober.close()
        await upstream.stop()
        return ends[0].accepts

    assert asyncio.run(run())


def _check_failure_behind(framing, first_bytes, second_bytes):
    """Check that no caller gets bytes of a failure as part of its answer."""

    def make_pieces(run):
        first = framed(framing)(run)
        end = None if first_bytes is None else find_body(first) + first_bytes
        return first[:end], make_failure(run)[:second_bytes]

    name = f'{framing} {first_bytes} {second_bytes}'
    script = register_pieces(name, make_pieces, closes=True)
    answers = asyncio.run(call_at_one([ScriptedCall(script)]))
    assert not list_foreign(answers)


def test_answer_that_another_connection_carried_is_no_part_of_a_body():
    # A whole answer was taken for text, as its id was not the connection's.
    _check_failure_behind('close', None, None)


@pytest.mark.parametrize(
    ('framing', 'first_bytes', 'second_bytes'),
    [
        # A copy that is cut within "HTTP".
        ('close', None, 3),
        # A copy that ends where the body is full.
        ('length', 0, len('answer to c0000')),
    ],
)
@pytest.mark.xfail(reason='KNOWN-RED.txt, 41', strict=True)
def test_second_answer_that_nothing_proves_reaches_no_caller(
    framing, first_bytes, second_bytes
):
    _check_failure_behind(framing, first_bytes, second_bytes)


@pytest.mark.parametrize('service', ['app', 'llm'])
def test_call_that_a_helper_relays_has_no_part_of_another_answer(service):
    # The VM of the caller has lost its links; the helpers' upstreams stutter.
    # A helper whose upstream stuttered gets no calls for a while.
    makes = [make_stream]
    paths = ('/stream/', '/resume/')
    if service == 'app':
        makes = [framed(each) for each in ('length', 'chunks', 'close')]
        paths = _PATHS
    scripts = [
        script
        for number, make in enumerate(makes)
        for script in register_cuts(
            f'helper, {service} {number}',
            make,
            make,
            start=find_body(make(_EXAMPLE)) + 5,
            step=12 // len(makes) ** 2 * 5,
        )
    ]
    calls = [
        ScriptedCall(each, paths[number % 2])
        for number, each in enumerate(scripts)
    ]

    async def run():
        async with run_cut_fleet(nodes=3, upstreams=8, service=service) as cuts:
            cuts.cut([0], 'refuse')
            answers = await call_all(
                cuts.fleet, cuts.upstreams, calls, at_once=3
            )
            return answers, [
                run for each in cuts.upstreams for run in each.runs
            ]

    answers, runs = asyncio.run(run())
    assert len({run.req_id for run in runs}) >= 3
    assert not list_foreign(answers)
