/** Client interfaces of the platform's VM list, directory of entry VMs and weight store. */
import * as zod from 'zod';

export const vmSchema = zod.object({
	name: zod.string(),
	/** `entry` for entry VMs, `upstream` for the others. */
	role: zod.enum(['entry', 'upstream']),
	region: zod.string(),
	failureDomain: zod.string(),
	/** `host:port` of the process on the VM. */
	address: zod.string(),
	state: zod.enum(['live', 'leaving']),
});
export type Vm = zod.infer<typeof vmSchema>;

/** List of live and leaving VMs. The list may be stale or wrong. */
export abstract class VmList {
	abstract list(signal?: AbortSignal): Promise<Vm[]>;
}

export const directoryEntrySchema = zod.object({
	region: zod.string(),
	failureDomain: zod.string(),
	address: zod.string(),
	weight: zod.number(),
});
export type DirectoryEntry = zod.infer<typeof directoryEntrySchema>;

/** Directory in which callers look up entry VMs for their first connection. */
export abstract class Directory {
	abstract read(signal?: AbortSignal): Promise<DirectoryEntry[]>;

	/** Replaces the entry VMs of one failure domain. */
	abstract publish(failureDomain: string, entries: DirectoryEntry[]): Promise<void>;
}

export const weightTicketSchema = zod.discriminatedUnion('kind', [
	zod.object({kind: zod.literal('granted'), model: zod.string()}),
	zod.object({kind: zod.literal('limited'), retryAfterMs: zod.number()}),
]);
export type WeightTicket = zod.infer<typeof weightTicketSchema>;

/** Rate-limited store of model weights. A runner loads a model with a ticket. */
export abstract class WeightStore {
	abstract requestTicket(model: string, runner: string): Promise<WeightTicket>;
}
