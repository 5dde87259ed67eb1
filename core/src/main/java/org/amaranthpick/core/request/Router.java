package org.amaranthpick.core.request;

/** Entry point of the request path. Thread-safe and non-blocking. */
public interface Router {
    /**
     * Submits a model request.
     *
     * @param request the request
     * @param sink receives the answer; may be called before this method returns
     * @return handle of the request
     */
    RequestHandle submit(ModelRequest request, AnswerSink sink);

    /**
     * Submits a service call.
     *
     * @param request the service call
     * @param sink receives the result; may be called before this method returns
     * @return handle of the request
     */
    RequestHandle submit(ServiceRequest request, ServiceSink sink);

    /**
     * Returns the number of requests in progress.
     *
     * @return requests without an outcome
     */
    int requestsInProgress();
}
