"""Steps of turnstore/turnstore.feature for documents saved on disk."""

import shutil
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from rattanvalve.messages import Document
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.turnstore.documentfiles import DocumentFiles


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
