/**
 * Set of upstreams that are leaving. A mark expires some time after its last renewal,
 * so that a delayed load report does not undo a mark from the VM list.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';

/** Marks are renewed by each read of the VM list and each load report. */
const markLifeMs = 10_000;

export type LeavingMarks = {
	mark(upstream: string): void;
	has(upstream: string): boolean;
	/** Names of upstreams with a valid mark. */
	current(): ReadonlySet<string>;
};

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
