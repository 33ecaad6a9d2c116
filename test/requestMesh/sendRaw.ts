import { connect } from 'node:net';

/**
 * Writes bytes to a new connection and returns everything received until it is closed.
 *
 * @param address - `host:port`
 * @param bytes - written unchanged, as latin1
 */
const sendRaw = (address: string, bytes: string): Promise<string> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect(Number(port), host, () => socket.write(bytes, 'latin1'));
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
  });

export default sendRaw;
