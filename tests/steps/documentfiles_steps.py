"""Steps of turnstore/turnstore.feature for documents saved on disk."""

import shutil
import tempfile
from pathlib import Path
from unittest import mock

import msgspec
from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.errors import ConfigurationError
from rattanvalve.messages import Document
from rattanvalve.platform.objects import StoredEntry
from rattanvalve.platform.servers import decode_server
from rattanvalve.platform.turnstores import (
    find_member_list,
    member_list_spec,
    registered_member,
    registration_spec,
)
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.turnstore import documentfiles
from rattanvalve.turnstore.documentfiles import DocumentFiles
from tests.member_lists import single_set_view

#: Nesting that is deeper than any JSON decoder follows.
NESTING = 100_000


def load_saved(context):
    """Load the saved documents, as a restarted process does."""
    return list(DocumentFiles(context.folder, DocumentBoard()).load())


@given('kept rules of version {rules:d} and members of version {members:d}')
def step_kept(context, rules, members):
    context.folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(context.folder))
    context.board = DocumentBoard()
    versions = {DocumentKind.RULES: rules, DocumentKind.MEMBERS: members}
    for kind, version in versions.items():
        document = Document(kind=str(kind), version=version, body=b'{}')
        context.board.offer(document)
    context.run(DocumentFiles(context.folder, context.board).save())
    assert len(load_saved(context)) == 2


@when("a byte of the members' file is {damage}")
def step_damage(context, damage):
    path = context.folder / 'members.document'
    body = path.read_bytes()
    if damage == 'missing':
        path.write_bytes(body[:-1])
        return
    offset = body.index(b'members')
    path.write_bytes(body[:offset] + b'M' + body[offset + 1 :])


@then('version {version:d} of the rules is read again and nothing else')
def step_read_again(context, version):
    documents = load_saved(context)
    assert documents == [Document(kind='rules', version=version, body=b'{}')]


@then('a file that cannot be written is tried again')
def step_try_again(context):
    files = DocumentFiles(context.folder, context.board)
    with mock.patch('os.fsync', side_effect=OSError('injected disk failure')):
        context.run(files.save())
    context.run(files.save())
    assert len(load_saved(context)) == 2


@when('newer rules cannot be written and newer members can')
def step_one_fails(context):
    for kind in (DocumentKind.RULES, DocumentKind.MEMBERS):
        document = Document(kind=str(kind), version=20, body=b'{}')
        context.board.offer(document)
    replace_file = documentfiles.replace_file

    def replace_unless_rules(path, body):
        if 'rules' in path.name:
            raise OSError('injected disk failure')
        replace_file(path, body)

    with mock.patch.object(documentfiles, 'replace_file', replace_unless_rules):
        context.run(DocumentFiles(context.folder, context.board).save())


@then('the newer members are on the disk')
def step_newer_members(context):
    versions = {saved.kind: saved.version for saved in load_saved(context)}
    assert versions == {'rules': 7, 'members': 20}, versions


@then('members and servers are listed without malformed entries')
def step_member_entries(context):
    good = registration_spec(StoreMember('a', Address('h', 1)), 'disk')
    specs = {
        'a': msgspec.json.encode(good),
        'b': b'{"host": "\xff"}',
        'c': b'1',
        'd': b'{"extra":' + b'[' * NESTING,
    }
    entries = [StoredEntry(name, 1, spec) for name, spec in specs.items()]
    members = [registered_member(entry) for entry in entries]
    names = [member and member.name for member in members]
    assert names == ['a', None, None, None], members
    servers = {name: decode_server(name, spec) for name, spec in specs.items()}
    assert servers == dict.fromkeys(specs), servers


@then('a list of members that is {oddity} is refused')
def step_odd_list(context, oddity):
    good = member_list_spec(
        single_set_view([StoreMember('a', Address('h', 1))])
    )
    odd = {
        'no object': b'1',
        'without sets': msgspec.json.encode(good | {'sets': []}),
        'without a member': msgspec.json.encode(good | {'members': {}}),
        'nested too deeply': b'{"extra":' + b'[' * NESTING,
        'out of order': msgspec.json.encode(good | {'sets': good['sets'] * 2}),
    }
    sound = [StoredEntry('main', 4, msgspec.json.encode(good))]
    assert find_member_list(sound) == sound[0]
    try:
        find_member_list([StoredEntry('main', 4, odd[oddity])])
    except ConfigurationError:
        return
    raise AssertionError(f'a list that is {oddity} was read')
