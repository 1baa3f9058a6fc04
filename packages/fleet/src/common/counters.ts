/** Counters of the control traffic of one daemon. */
export type FleetCounters = {
	messagesSent: number;
	bytesSent: number;
	messagesReceived: number;
	bytesReceived: number;
	/** Datagrams of another cluster or version, and malformed ones. */
	datagramsDropped: number;
	/** Calls of `config.pull` and `members.sync` that this daemon made. */
	callsSent: number;
	/** Calls that this daemon answered. */
	callsAnswered: number;
	/** Calls that this daemon refused because of its rate limit. */
	callsRefused: number;
	/** Characters of JSON text in these calls, sent and received. */
	callBytes: number;
	storeCalls: number;
	storeFailures: number;
	vmListCalls: number;
	failedCalls: number;
};

/** Creates counters at zero. */
export const createCounters = (): FleetCounters => ({
	messagesSent: 0,
	bytesSent: 0,
	messagesReceived: 0,
	bytesReceived: 0,
	datagramsDropped: 0,
	callsSent: 0,
	callsAnswered: 0,
	callsRefused: 0,
	callBytes: 0,
	storeCalls: 0,
	storeFailures: 0,
	vmListCalls: 0,
	failedCalls: 0,
});

/** Token bucket that allows `perSecond` calls per second. */
export const createRateLimiter = (perSecond: number): ((nowMs: number) => boolean) => {
	let tokens = perSecond;
	let lastMs: number | undefined;
	return (nowMs) => {
		tokens = Math.min(perSecond, tokens + ((nowMs - (lastMs ?? nowMs)) / 1000) * perSecond);
		lastMs = nowMs;
		if (tokens < 1) {
			return false;
		}

		tokens--;
		return true;
	};
};
