/** Calls from the placer to runners and entry daemons. */
import * as zod from 'zod';

const optionalText = zod
	.string()
	.nullish()
	.transform((text) => text ?? '');

/** Fields of a runner's load report that the placer reads. The report lags behind the runner. */
export const runnerLoadSchema = zod.object({
	leaving: zod.boolean().default(false),
	/** Loaded model; empty when there is none. */
	model: optionalText,
	role: optionalText,
});
export type RunnerLoad = zod.infer<typeof runnerLoadSchema>;

/**
 * An order contains the desired end state and is therefore idempotent. A load does
 * not change the role; a change of role needs a separate order.
 */
export type RunnerOrder = {
	order: 'load' | 'change-role';
	/** Fencing number of the lease under which the order is sent. */
	fencing: number;
	model: string;
	role: string;
};

/** `refused` when the runner has received a higher fencing number. */
export type OrderAnswer = 'accepted' | 'refused';

/** Reads load reports of runners and sends orders to them; rejects on any failure. */
export abstract class RunnerClient {
	abstract load(address: string): Promise<RunnerLoad>;

	abstract order(address: string, order: RunnerOrder): Promise<OrderAnswer>;
}

/** Reads the demand at an entry daemon, in tokens per second for each model. */
export abstract class DemandClient {
	abstract read(address: string): Promise<Readonly<Record<string, number>>>;
}
