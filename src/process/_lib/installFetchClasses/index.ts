/**
 * Sets the global fetch classes to those of the undici package.
 *
 * connect-es and hono use the global Headers, Request and Response. On the first
 * access to them Node.js loads its own copy of undici, which takes about 8.5 MB of resident memory.
 * This module must be imported before connect-es and hono; only the bundle of the node daemon does so.
 */
import { FormData } from 'undici/lib/web/fetch/formdata.js';
import { Headers } from 'undici/lib/web/fetch/headers.js';
// Request captures a body converter that the module of Response defines, so Response is loaded first.
import { Response } from 'undici/lib/web/fetch/response.js';
import { Request } from 'undici/lib/web/fetch/request.js';

Object.entries({ FormData, Headers, Request, Response }).forEach(([name, value]) => {
  Object.defineProperty(globalThis, name, { value, writable: true, configurable: true });
});
