"""Steps of views.feature: view changes, ownership and rendezvous ranks."""

from behave import then

from rattanvalve import views
from rattanvalve.errors import FrameError
from rattanvalve.messages import Member, View
from rattanvalve.rendezvous import rank

NAMES = ('a', 'b', 'c')


def sample_view():
    """Build a view with three entries and endpoints of two services."""
    view = View(cell='cell')
    for name in NAMES:
        entry = Member(name=name, role=views.ROLE_ENTRY, incarnation='1')
        view = views.with_member(view, entry, name)
    for name in ('s-1', 't-1'):
        endpoint = Member(
            name=name,
            role=views.ROLE_ENDPOINT,
            service_name=name[0],
        )
        view = views.with_member(view, endpoint, name)
    return view


@then('rendezvous ranks keep their order without a name')
def step_rank(context):
    for index in range(100):
        order = rank(f'key-{index}', NAMES)
        assert sorted(order) == list(NAMES)
        remaining = [name for name in order if name != 'b']
        assert rank(f'key-{index}', ('c', 'a')) == remaining


@then('members are replaced and removed, each in one epoch')
def step_changes(context):
    view = sample_view()
    assert view.epoch == 5
    newer = Member(name='a', role=views.ROLE_ENTRY, incarnation='2')
    replaced = views.with_member(view, newer, 'change')
    assert (replaced.epoch, replaced.change_id) == (6, 'change')
    assert len(replaced.members) == 5
    assert views.find_member(replaced, 'a') == newer
    removed = views.without_members(replaced, ('a', 't-1'), 'change')
    assert removed.epoch == 7
    assert views.find_member(removed, 'a') is None
    assert [endpoint.name for endpoint in views.endpoints_of(removed)] == [
        's-1'
    ]
    assert not views.endpoints_of(removed, 't')
    assert views.decode_view(views.encode_view(removed)) == removed


@then('former members are endpoints that were removed and have not left')
def step_former(context):
    removed_view = views.without_members(
        sample_view(), ('a', 's-1', 't-1'), 'change'
    )
    assert [member.name for member in removed_view.former] == ['s-1', 't-1']
    assert views.decode_view(views.encode_view(removed_view)) == removed_view
    restarted = Member(name='s-1', role=views.ROLE_ENDPOINT, incarnation='2')
    view_with_restarted = views.with_member(removed_view, restarted, 'change')
    assert [member.name for member in view_with_restarted.former] == ['t-1']
    view_without_former = views.change_members(
        view_with_restarted, (), ('s-1',), 'change', ('s-1', 't-1')
    )
    assert not view_without_former.former


@then('malformed views raise a frame error')
def step_malformed(context):
    for raw in (b'', b'{', b'[]', b'{"epoch": "x"}', b'{"members": [1]}'):
        try:
            views.decode_view(raw)
        except FrameError:
            continue
        raise AssertionError(raw)


@then('every entry owns some shards and no endpoint owns any')
def step_owners(context):
    view = sample_view()
    owners = {views.owner_of(view, 'north', shard) for shard in range(50)}
    assert owners == set(NAMES)
    assert not views.owner_of(View(), 'north', 0)
