/** Logs and counts what the quotas of teams refused, one line for each team and interval. */
import * as metrics from '@hawthornfront/base/node/metrics.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as teamQuota from '../common/team-quota.js';

export type QuotaLog = {
	/** Call it at regular intervals and before the process ends. */
	flush(): void;
};

export const createQuotaLog = (
	quota: Pick<teamQuota.TeamQuota, 'takeRefusals'>,
	log: gatewayEvent.EventLog,
	registry: metrics.Registry,
): QuotaLog => {
	// Without the team as a label, of which there are thousands; the log names it.
	const counter = metrics.createCounter(
		registry,
		'hawthornfront_quota_refusals_total',
		'Requests that the quota of their team refused',
	);
	return {
		flush() {
			for (const refusals of quota.takeRefusals()) {
				counter.inc(refusals.count);
				log.note({kind: 'quota-refused', ...refusals});
			}
		},
	};
};
