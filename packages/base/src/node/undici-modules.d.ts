/** Declares modules of undici that have no types. */
declare module 'undici/lib/dispatcher/agent.js' {
	const module: unknown;
	export default module;
}

declare module 'undici/lib/dispatcher/client.js' {
	const module: unknown;
	export default module;
}

declare module 'undici/lib/api/api-request.js' {
	const module: unknown;
	export default module;
}
