/** Exchange of demand for the limits of teams. */
import * as zod from 'zod';
import * as rpc from './rpc.js';

const maxTeamsPerCall = 5000;

/** Demand of teams, as multiples of the whole limit of each team. */
export const limitsDemand = rpc.defineMethod(
	'limits.demand',
	zod.object({
		/** Daemon that sends, or the failure domain whose sum it sends. */
		scope: zod.enum(['daemon', 'domain']),
		name: zod.string(),
		demands: zod.array(zod.tuple([zod.string(), zod.number().nonnegative()])).max(maxTeamsPerCall),
	}),
	zod.object({}),
);
