"""A bounded run of both deployments through failures, with checked promises."""
