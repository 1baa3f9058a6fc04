/** Calls of runners and entry daemons that the placer makes. */
import * as zod from 'zod';

const optionalText = zod
	.string()
	.nullish()
	.transform((text) => text ?? '');

/** Part of a runner's report that the placer reads. The report lags. */
export const runnerLoadSchema = zod.object({
	leaving: zod.boolean().default(false),
	/** Model that is loaded; empty when there is none. */
	model: optionalText,
	role: optionalText,
});
export type RunnerLoad = zod.infer<typeof runnerLoadSchema>;

/**
 * An order states the desired end state, so that repeating it is harmless. A
 * load does not change the role; that takes an order of its own.
 */
export type RunnerOrder = {
	order: 'load' | 'change-role';
	/** Number of the lease under which it is given. */
	fencing: number;
	model: string;
	role: string;
};

/** `refused` when the runner has seen a higher fencing number. */
export type OrderAnswer = 'accepted' | 'refused';

/** Reads and orders runners; every failure rejects. */
export abstract class RunnerClient {
	abstract load(address: string): Promise<RunnerLoad>;

	abstract order(address: string, order: RunnerOrder): Promise<OrderAnswer>;
}

/** Reads the demand that an entry daemon sees, in tokens per second for each model. */
export abstract class DemandClient {
	abstract read(address: string): Promise<Readonly<Record<string, number>>>;
}
