"""Steps of request_checks.feature."""

import json

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanvalve.call_headers import build_begin, find_caller
from rattanvalve.messages import Begin, Refusal
from rattanvalve.request_checks import (
    ChatBody,
    check_service_path,
    parse_chat_body,
)
from rattanvalve.resultcodes import ResultCode
from rattanvalve.wire import encode_struct
from tests.ingress_bench import AUTH, chat_body
from tests.samples import sample_catalog

DEPTH = 8
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@then('the service path "{path}" is {verdict}')
def step_path(context, path, verdict):
    checked = check_service_path(path, '')
    assert checked.is_ok() == (verdict == 'accepted'), checked
    if checked.is_ok():
        assert checked.unwrap().raw == path


@then('an encoded order path is not repeatable')
def step_encoded(context):
    path = check_service_path('/%6Frders', 'x=1').unwrap()
    assert path.raw == '/%6Frders?x=1'
    catalog = sample_catalog()
    assert not catalog.is_repeatable('orders-app', 'POST', path.decoded)


@settings(database=None, derandomize=True, deadline=None)
@given(st.binary() | JSON.map(lambda found: json.dumps(found).encode()))
def check_any_body(raw):
    """Check that any body is parsed or refused with a request error."""
    parsed = parse_chat_body(raw, DEPTH)
    if parsed.is_err():
        assert 1000 < parsed.unwrap_err().code < 1100
    else:
        assert isinstance(parsed.unwrap(), ChatBody)


@settings(database=None, derandomize=True, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(('Rattanvalve-Program', 'Idempotency-Key')),
        st.text() | st.just('\udcff'),
    ),
    st.text(),
)
def check_any_header(ids, authorization):
    """Check that any headers give an encodable message or a refusal."""
    catalog = sample_catalog()
    headers = AUTH | ids
    find_caller(ids | {'Authorization': authorization}, catalog)
    found = find_caller(headers, catalog).and_then(
        lambda caller: build_begin(headers, caller, catalog),
    )
    if found.is_ok():
        assert isinstance(found.unwrap(), Begin)
        assert encode_struct(found.unwrap())
    else:
        assert isinstance(found.unwrap_err(), Refusal)


@then('random JSON and random bytes give a result')
def step_any(context):
    check_any_body()
    check_any_header()


@then('bodies up to the depth limit are accepted and deeper ones refused')
def step_depth(context):
    for extra in range(DEPTH + 3):
        nested = json.loads('[' * extra + ']' * extra or '0')
        raw = json.dumps(chat_body(metadata=nested)).encode()
        parsed = parse_chat_body(raw, DEPTH)
        assert parsed.is_ok() == (extra + 1 <= DEPTH), extra
        if parsed.is_err():
            assert parsed.unwrap_err().code == ResultCode.BODY_TOO_DEEP
