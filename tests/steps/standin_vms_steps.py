"""Steps of standins/vms.feature."""

import json

from behave import then

from rattanvalve.standins.vms import VmList, build_vms_app
from tests.steps.standin_http import send, start


@then('a VM state set through the API is listed only after the lag')
def step_lag(context):
    now = [100]
    url = start(context, build_vms_app(VmList(lag_s=5), lambda: now[0]))

    def listed():
        return json.loads(send(context, 'GET', f'{url}/v1/vms')[2])['vms']

    def change(state):
        body = json.dumps({'state': state})
        return send(context, 'PUT', f'{url}/v1/vms/vm-1', data=body)[0]

    assert change('live') == 204
    assert listed() == []
    now[0] = 105
    assert change('leaving') == 204
    assert change('gone') == 400
    assert listed() == [{'name': 'vm-1', 'state': 'live'}]
    now[0] = 110
    assert listed() == [{'name': 'vm-1', 'state': 'leaving'}]
