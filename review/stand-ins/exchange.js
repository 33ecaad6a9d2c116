/** Sends one HTTP/1.1 request on a connection of its own and reads the whole response. */
import { request } from 'node:http';

/**
 * @param address - `IP:port`
 * @param options - `method`, `path`, `headers`, `body` and `timeoutMs`
 * @returns status, headers and body; or `error` if no complete response came in time
 */
const exchange = (
  address,
  { method = 'GET', path, headers = {}, body = undefined, timeoutMs = 1_000 },
) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const sent = request({ host, port, method, path, headers, agent: false }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => resolve({ error: String(error) }));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        resolve({ status: response.statusCode, headers: response.headers, body: text });
      });
    });
    const timer = setTimeout(() => sent.destroy(new Error('no response in time')), timeoutMs);
    sent.on('close', () => clearTimeout(timer));
    sent.on('error', (error) => resolve({ error: error.message }));
    sent.end(body);
  });

export default exchange;
