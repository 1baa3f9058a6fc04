/** JSON-RPC method that exchanges demand, from which the limits of teams are shared out. */
import * as zod from 'zod';
import * as rpc from './rpc.js';

const maxTeamsPerCall = 5000;

/** Reports the demand of teams, as multiples of the total limit of each team. */
export const limitsDemand = rpc.defineMethod(
	'limits.demand',
	zod.object({
		/** Whether `name` is the sending daemon or a failure domain whose total is sent. */
		scope: zod.enum(['daemon', 'domain']),
		name: zod.string(),
		demands: zod.array(zod.tuple([zod.string(), zod.number().nonnegative()])).max(maxTeamsPerCall),
	}),
	zod.object({}),
);
