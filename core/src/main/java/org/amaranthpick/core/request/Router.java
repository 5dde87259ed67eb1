package org.amaranthpick.core.request;

/** Facade of the request path. Thread-safe; never blocks. */
public interface Router {
    /**
     * Submits a model request.
     *
     * @param request the request
     * @param sink takes the answer; may be called before this method returns
     * @return handle of the request
     */
    RequestHandle submit(CallerRequest request, AnswerSink sink);

    /**
     * Calls a plain service.
     *
     * @param request the call
     * @param sink takes the result; may be called before this method returns
     * @return handle of the request
     */
    RequestHandle submit(ServiceRequest request, ServiceSink sink);

    /**
     * Counts the requests in progress.
     *
     * @return number of requests without an outcome
     */
    int inProgress();
}
