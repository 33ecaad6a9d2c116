/** Types of the package-internal modules that the reduced entry points import. */
declare module 'undici/lib/api/index.js' {
  const api: object;

  export default api;
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
  import { Dispatcher } from 'undici';

  export default Dispatcher;
}

declare module 'undici/lib/dispatcher/agent.js' {
  import { Agent } from 'undici';

  export default Agent;
}

declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici';

  export default Client;
}

declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici';

  export default Pool;
}

declare module 'undici/lib/core/connect.js' {
  import { buildConnector } from 'undici';

  export default buildConnector;
}

declare module 'undici/lib/core/errors.js' {
  import { errors } from 'undici';

  export default errors;
}

declare module 'undici/lib/web/fetch/formdata.js' {
  export { FormData } from 'undici';
}

declare module 'undici/lib/web/fetch/headers.js' {
  export { Headers } from 'undici';
}

declare module 'undici/lib/web/fetch/request.js' {
  export { Request } from 'undici';
}

declare module 'undici/lib/web/fetch/response.js' {
  export { Response } from 'undici';
}
