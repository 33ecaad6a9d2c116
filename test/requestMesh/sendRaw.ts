import { connect } from 'node:net';

/**
 * Writes bytes to a connection of its own and returns all that arrives until it is closed.
 *
 * @param address - `host:port`
 * @param bytes - exactly what is written
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
