/** Waits until a revision is in force at every entry daemon of every region. */
import * as ctlError from '../../common/ctl-error.js';
import type * as ctlContext from '../context.js';
import * as daemonState from '../daemon-state.js';

const pollMs = 250;
// The design guarantees 10 s; the remainder allows for daemons that respond slowly.
const defaultWaitSeconds = 30;

const describeLateDaemons = (daemons: readonly daemonState.DaemonRevision[]): string =>
	daemons
		.map((daemon) =>
			daemon.kind === 'answered'
				? `${daemon.address} has revision ${daemon.revision}`
				: `${daemon.address} did not answer`,
		)
		.join(', ');

/** Prints one line per region as soon as all of its daemons have the revision. */
export const waitUntilInForce = async (
	context: ctlContext.CtlContext,
	entries: Record<string, string[]>,
	revision: number,
	waitSeconds = defaultWaitSeconds,
): Promise<void> => {
	const pending = new Map(Object.entries(entries));
	if (pending.size === 0) {
		const message = 'section [entries]: expected the entry daemons of each region for --wait';
		throw new ctlError.CtlError(ctlError.exitCodes.usage, message);
	}

	const startMs = context.clock.nowMs();
	const endMs = startMs + Number(waitSeconds) * 1000;
	const lateTextByRegion = new Map<string, string>();
	for (;;) {
		await Promise.all(
			[...pending].map(async ([region, addresses]) => {
				const daemons = await daemonState.readRevisions(context.http, addresses);
				const late = daemons.filter(
					(daemon) => daemon.kind === 'failed' || daemon.revision < revision,
				);
				lateTextByRegion.set(region, describeLateDaemons(late));
				if (late.length === 0) {
					pending.delete(region);
					const seconds = ((context.clock.nowMs() - startMs) / 1000).toFixed(1);
					context.print(`region ${region}: revision ${revision} in force after ${seconds} s`);
				}
			}),
		);
		if (pending.size === 0) {
			return;
		}

		if (context.clock.nowMs() >= endMs) {
			const [region = ''] = pending.keys();
			const others = pending.size > 1 ? `, and ${pending.size - 1} more regions` : '';
			const message = `revision ${revision} is written but not in force in region ${region}: ${lateTextByRegion.get(region)}${others}`;
			throw new ctlError.CtlError(ctlError.exitCodes.notInForce, message);
		}

		await context.clock.sleep(pollMs);
	}
};
