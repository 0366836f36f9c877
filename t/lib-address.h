/**
 * @file lib-address.h
 * Loopback addresses for the sockets of tests.
 */
#ifndef LIB_ADDRESS_H
#define LIB_ADDRESS_H

#define ADDRESS_BYTES 32

/**
 * Writes an IP:PORT on loopback where nobody listens.
 *
 * The port stays reserved until the process ends, by a socket that is bound to
 * it with SO_REUSEADDR and does not listen: the kernel gives the port to no
 * other socket that asks for any free one, here or in another process, a
 * connection to it is refused, and sockets with SO_REUSEADDR can listen there
 * as often as a test needs.
 */
void choose_free_address (char text[ADDRESS_BYTES]);

#endif
