/** Registers the methods of the witness on the daemon's RPC server. */
import * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import type * as witnessModule from './witness.js';

export const registerMethods = (server: rpc.RpcServer, witness: witnessModule.Witness): void => {
	server.handle(onceMethods.intent, (params) => witness.intent(params));
	server.handle(onceMethods.complete, (params) => witness.complete(params));
	server.handle(onceMethods.resolve, (params) => witness.resolve(params));
	server.handle(onceMethods.handoff, (params) => ({accepted: witness.handoff(params.records)}));
};
