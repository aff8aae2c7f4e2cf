"""Steps of whole_path.feature."""

import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when

from rattanvalve.demo import incomplete_programs
from rattanvalve.experiment import Experiment
from rattanvalve.fault_run import FaultRun, run_with_faults
from rattanvalve.fleet import ProductCommands
from rattanvalve.history_check import check_history
from rattanvalve.scenario import load_scenario

SEED = 1
#: Engine steps this slow keep calls in progress nearly all the time, so that
#: each fault hits running calls and streams.
STEP_S = 0.03


def long_programs():
    """Return a bundled scenario with six turns of slow calls per program."""
    scenario = load_scenario('hrafnsdottir')
    programs = msgspec.structs.replace(
        scenario.programs,
        min_turns=6,
        max_turns=6,
        sub_agent_share=0,
    )
    engine, *others = scenario.services
    engine = msgspec.structs.replace(
        engine,
        behaviour=engine.behaviour | {'step_base_s': STEP_S},
    )
    return msgspec.structs.replace(
        scenario,
        programs=programs,
        services=(engine, *others),
    )


@given('each {program} process has the fault that {fault}')
def step_break(context, program, fault):
    command = ('tests.broken_program', program, fault)
    context.programs = ProductCommands(**{program: command})


@when('programs run while {kinds} happens')
@when('programs run while {kinds} happen')
def step_run(context, kinds):
    names = tuple(kinds.replace(' and ', ', ').split(', '))
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    experiment = Experiment(
        long_programs(),
        SEED,
        'affinity/program_fair',
        Path(folder.name) / 'run',
    )
    fault_run = FaultRun(
        experiment=experiment,
        rounds=len(names),
        kinds=names,
        pause_s=0,
        recovery_s=0,
        verification_s=0,
        programs=getattr(context, 'programs', None),
    )
    context.evidence = context.run(run_with_faults(fault_run))
    context.verdicts = {
        verdict.name: verdict.violations
        for verdict in check_history(context.evidence)
    }


@then('every program completed, but for those of the withdrawn key')
def step_completed(context):
    run = context.evidence.run
    assert run.programs
    incomplete = [
        (program.name, program.outcome, program.calls[-1].attempts[-1])
        for program in incomplete_programs(run)
    ]
    assert not incomplete, incomplete


@then('every check of the history holds')
def step_holds(context):
    violated = {
        name: found for name, found in context.verdicts.items() if found
    }
    assert not violated, violated


@then('the check "{name}" is violated')
def step_caught(context, name):
    assert context.verdicts[name], context.verdicts
