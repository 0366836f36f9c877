/**
 * @file lib-address.h
 * Loopback addresses for the sockets of tests.
 */
#ifndef LIB_ADDRESS_H
#define LIB_ADDRESS_H

#define ADDRESS_BYTES 32

/** Writes an IP:PORT on loopback whose port was free at the time of the call.
 */
void choose_free_address (char text[ADDRESS_BYTES]);

#endif
