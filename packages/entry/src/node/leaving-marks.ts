/**
 * Upstreams that are leaving. A mark holds for a while after its last renewal,
 * so that the lagging report of a poller does not undo the mark of the VM list.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';

/** Marks are renewed at every read of the VM list and at every load report. */
const markLifeMs = 10_000;

export type LeavingMarks = {
	mark(upstream: string): void;
	has(upstream: string): boolean;
	/** Names with a valid mark. */
	current(): ReadonlySet<string>;
};

/** Creates an empty set of marks. */
export const createLeavingMarks = (time: clock.Clock): LeavingMarks => {
	const validUntilMs = new Map<string, number>();
	const isValid = (upstream: string): boolean =>
		(validUntilMs.get(upstream) ?? Number.NEGATIVE_INFINITY) > time.nowMs();
	return {
		mark(upstream) {
			validUntilMs.set(upstream, time.nowMs() + markLifeMs);
		},
		has: isValid,
		current() {
			for (const upstream of validUntilMs.keys()) {
				if (!isValid(upstream)) {
					validUntilMs.delete(upstream);
				}
			}

			return new Set(validUntilMs.keys());
		},
	};
};
