/**
 * @file framing.h
 * Checks that the headers of an HTTP request define the length of its body
 * unambiguously.
 *
 * Two servers that interpret ambiguous headers differently disagree on where
 * the next request starts, which allows request smuggling (RFC 9112, section
 * 11.2).
 */
#ifndef FRAMING_H
#define FRAMING_H

struct evhttp_request;

/**
 * Checks the header names, Content-Length and Transfer-Encoding.
 * @return NULL when the framing is valid, else a static description of the
 *         first error
 */
const char *framing_error (struct evhttp_request *request);

#endif
